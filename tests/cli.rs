//! Tests of the operators' command line against a real operators' listener. An in-memory
//! table replaces the replicated resources.

use std::collections::{BTreeMap, VecDeque};
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use futures::future::FutureExt;
use jackdawwick::api::backend::{ApplyCall, ChangeRefusal, DeleteCall, OperatorBackend};
use jackdawwick::api::wire::{
    AcceptedBody, ConflictBody, ExplainEntry, ExplainView, ForceView, HostForceView, RefusalBody,
    ResourceView, StatusView, TargetStatusView,
};
use jackdawwick::api::{ApiHandle, ApiSettings, spawn_operators};
use jackdawwick::auth::TokenDigest;
use jackdawwick::cli::{self, CliEnvironment, parse_resources, rollout_progress};
use jackdawwick::reason::RefusalReason;
use jackdawwick::resources::{ResourceKey, ResourceKind, ResourceSpec};
use parking_lot::Mutex;
use tokio::net::TcpSocket;

const TOKEN: &str = "token-of-ana";

const FILE: &str = r#"
[organisation.desk]
token_digest = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
capacity = { concurrent_requests = 4, requests_per_second = 20 }

[service.ledger]
targets = ["l/1"]

[pipeline.fast]
model = "reader"
version = "v1"
stages = [{ first_layer = 0, last_layer = 3, targets = ["e1"] }]

[model.reader]
offered = "v1"
versions = [{ name = "v1", layers = 4 }]

[target.e1]
kind = "engine"
zone = "a"
address = "127.0.0.1:7001"

[target."l/1"]
kind = "service"
zone = "a"
address = "127.0.0.1:7002"
"#;

/// Resources and the behaviour that tests configure.
#[derive(Default)]
struct FakeState {
    resources: BTreeMap<ResourceKey, ResourceView>,
    next_version: u64,
    /// Keys of all received changes, in order.
    changes: Vec<String>,
    /// Another operator's change, applied just before the next change of the same
    /// resource.
    concurrent_change: Option<ResourceView>,
    /// Responses of the force endpoint; the last one is repeated.
    force: VecDeque<ForceView>,
}

impl FakeState {
    fn accept_change(
        &mut self,
        key: &ResourceKey,
        based_on: Option<u64>,
    ) -> Result<AcceptedBody, ChangeRefusal> {
        self.changes.push(key.to_string());
        if let Some(concurrent_change) = self
            .concurrent_change
            .take_if(|concurrent_change| concurrent_change.key == *key)
        {
            self.resources.insert(key.clone(), concurrent_change);
        }
        let present = self.resources.get(key);
        if present.map(|view| view.version) != based_on {
            return Err(ChangeRefusal::Conflict(ConflictBody {
                winner: present.map(|view| view.version),
                operator: present.map(|view| view.operator.clone()),
                message: String::new(),
            }));
        }
        self.next_version += 1;
        Ok(AcceptedBody {
            version: self.next_version,
        })
    }

    fn apply(&mut self, call: ApplyCall) -> Result<AcceptedBody, ChangeRefusal> {
        let accepted = self.accept_change(&call.key, call.body.based_on)?;
        let view = view(&call.key, call.body.spec, accepted.version, &call.operator);
        self.resources.insert(call.key, view);
        Ok(accepted)
    }

    fn delete(&mut self, call: &DeleteCall) -> Result<AcceptedBody, ChangeRefusal> {
        let accepted = self.accept_change(&call.key, Some(call.based_on))?;
        self.resources.remove(&call.key);
        Ok(accepted)
    }

    fn next_force(&mut self) -> ForceView {
        let next = self.force.front().cloned().expect("a scripted response");
        if self.force.len() > 1 {
            self.force.pop_front();
        }
        next
    }
}

fn view(key: &ResourceKey, spec: ResourceSpec, version: u64, operator: &str) -> ResourceView {
    ResourceView {
        key: key.clone(),
        spec,
        version,
        operator: operator.into(),
    }
}

/// A listener over a [`FakeState`].
struct FakeDaemon {
    state: Arc<Mutex<FakeState>>,
    handle: ApiHandle,
}

impl FakeDaemon {
    fn spawn() -> Self {
        let state = Arc::new(Mutex::new(FakeState::default()));
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = ApiSettings::new(address, slog::Logger::root(slog::Discard, slog::o!()));
        let handle = spawn_operators(&settings, backend(&state)).expect("listener");
        Self { state, handle }
    }

    async fn run(&self, arguments: &[&str]) -> CliResult {
        run_against(self.handle.local_address(), TOKEN, arguments).await
    }

    async fn apply(&self, text: &str, more: &[&str]) -> CliResult {
        let folder = tempfile::tempdir().expect("folder");
        let path = folder.path().join("resources.toml");
        std::fs::write(&path, text).expect("written");
        let path = path.to_str().expect("text");
        self.run(&[&["apply", path], more].concat()).await
    }
}

fn backend(state: &Arc<Mutex<FakeState>>) -> OperatorBackend {
    let digest = TokenDigest::of_token(TOKEN);
    let [list, get, apply, delete, force] = std::array::from_fn(|_| Arc::clone(state));
    let unknown = || RefusalBody::not_run(RefusalReason::Unknown, "no such resource");
    OperatorBackend {
        operator_of: Arc::new(move |presented| {
            bool::from(presented.matches(&digest)).then(|| Arc::from("ana"))
        }),
        list: Arc::new(move |()| {
            let views = list.lock().resources.values().cloned().collect();
            async { Ok(views) }.boxed()
        }),
        get: Arc::new(move |key| {
            let found = get.lock().resources.get(&key).cloned();
            async move { found.ok_or_else(unknown) }.boxed()
        }),
        apply: Arc::new(move |call| {
            let result = apply.lock().apply(call);
            async { result }.boxed()
        }),
        delete: Arc::new(move |call| {
            let result = delete.lock().delete(&call);
            async { result }.boxed()
        }),
        force: Arc::new(move |()| {
            let next = force.lock().next_force();
            async { Ok(next) }.boxed()
        }),
        explain: Arc::new(move |request| {
            let known = (&*request != "r2").then(|| explain(&request));
            async move { known.ok_or_else(unknown) }.boxed()
        }),
        status: Arc::new(|()| async { Ok(status()) }.boxed()),
        metrics: Arc::new(String::new),
    }
}

fn explain(request: &str) -> ExplainView {
    let entry = ExplainEntry {
        at_ms: 1_000,
        subject: "run".to_owned(),
        text: "route e1: least queue\u{1b}[2J".to_owned(),
    };
    ExplainView {
        subject: request.to_owned(),
        entries: Vec::from_iter((request == "r/1").then_some(entry)),
    }
}

fn status() -> StatusView {
    StatusView {
        host: "entry-1".into(),
        zone: "a".into(),
        ready: true,
        draining: false,
        applied: 7,
        targets: vec![TargetStatusView {
            target: "e1".into(),
            zone: "a".into(),
            usable: false,
            condition: "ejected".to_owned(),
            in_flight: 2,
        }],
    }
}

/// Result of one run of the command line.
#[derive(Debug)]
struct CliResult {
    status: u8,
    output: String,
    errors: String,
}

async fn run_against(server: SocketAddr, token: &str, arguments: &[&str]) -> CliResult {
    let environment = CliEnvironment {
        server: Some(server.to_string()),
        token: Some(token.to_owned()),
    };
    let arguments = ["jackdawwick"].iter().chain(arguments);
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let status = cli::run(arguments, environment, &mut output, &mut errors).await;
    CliResult {
        status,
        output: String::from_utf8(output).expect("text"),
        errors: String::from_utf8(errors).expect("text"),
    }
}

#[tokio::test]
async fn apply_declares_what_differs_after_what_it_refers_to() {
    let daemon = FakeDaemon::spawn();
    let preview = daemon.apply(FILE, &["--dry-run"]).await;
    assert_eq!(preview.status, 0, "{}", preview.errors);
    assert!(
        preview.output.contains("accelerator: + \"\"\n"),
        "{}",
        preview.output
    );
    assert!(daemon.state.lock().changes.is_empty());

    let created = daemon.apply(FILE, &[]).await;
    assert_eq!(created.status, 0, "{}", created.errors);
    insta::assert_snapshot!(created.output, @r#"
    RESOURCE           OUTCOME  VERSION  DIFFERENCE
    target/e1          created  1
    target/l/1         created  2
    model/reader       created  3
    pipeline/fast      created  4
    service/ledger     created  5
    organisation/desk  created  6
    "#);

    let faster = FILE.replace("requests_per_second = 20", "requests_per_second = 30");
    let preview = daemon.apply(&faster, &["--dry-run"]).await;
    insta::assert_snapshot!(preview.output, @r#"
    RESOURCE           OUTCOME       VERSION  DIFFERENCE
    target/e1          unchanged     1
    target/l/1         unchanged     2
    model/reader       unchanged     3
    pipeline/fast      unchanged     4
    service/ledger     unchanged     5
    organisation/desk  would change  -        capacity.requests_per_second: 20 -> 30
    "#);
    daemon.state.lock().changes.clear();
    let changed = daemon.apply(&faster, &["--output", "json"]).await;
    assert_eq!(daemon.state.lock().changes, ["organisation/desk"]);
    assert_eq!(changed.output.matches("\"unchanged\"").count(), 5);

    let deleted = daemon.run(&["delete", "target", "l/1"]).await;
    assert_eq!(deleted.status, 0, "{}", deleted.errors);
    let listed = daemon.run(&["get", "target"]).await;
    insta::assert_snapshot!(listed.output, @r#"
    KIND    NAME  VERSION  OPERATOR  SUMMARY
    target  e1    1        ana       127.0.0.1:7001 in a
    "#);
    let resource = daemon.run(&["get", "organisation", "desk"]).await;
    insta::assert_snapshot!(resource.output, @r#"
    FIELD                              VALUE
    version                            7
    operator                           ana
    spec.capacity.concurrent_requests  4
    spec.capacity.requests_per_second  30
    spec.token_digest                  aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
    "#);
}

/// Two operators read version 1 and both change the resource. The second change must be
/// refused, or it would silently undo the first; it therefore names the version it is
/// based on.
#[tokio::test]
async fn a_lost_race_names_the_winner_and_stops() {
    let daemon = FakeDaemon::spawn();
    daemon.apply(FILE, &[]).await;
    let key = ResourceKey::new(ResourceKind::Model, "reader");
    let spec = daemon.state.lock().resources[&key].spec.clone();
    daemon.state.lock().concurrent_change = Some(view(&key, spec, 99, "boris"));
    let next = FILE
        .replace("layers = 4", "layers = 5")
        .replace("requests_per_second = 20", "requests_per_second = 30");
    let lost = daemon.apply(&next, &[]).await;
    assert_eq!(lost.status, 3);
    insta::assert_snapshot!(lost.errors, @"model/reader: lost the race: boris won with version 99. Look at it with `jackdawwick get model reader`, then run your command again if the change is still wanted.");
    assert!(lost.output.contains("lost race"), "{}", lost.output);
    assert!(lost.output.contains("not sent"), "{}", lost.output);
    assert_eq!(&*daemon.state.lock().resources[&key].operator, "boris");
}

#[tokio::test]
async fn a_file_with_mistakes_reports_them_all_and_sends_nothing() {
    let daemon = FakeDaemon::spawn();
    let bad = r#"
        modle = 1
        service = 2
        [target.e1]
        kind = "robot"
        zone = "a"
        adress = "127.0.0.1:1"
        concurrency = -1
        [pipeline.fast]
        model = "m"
        version = "v"
        stages = [{ first_layer = 0, last_layer = 1, targets = ["a"] },
                  { first_layer = 3, last_layer = 4, targets = ["b"] }]
        [organisation.desk]
        token_digest = "short"
        capacity = { concurrent_requests = 1, requests_per_second = 1 }
        [model.reader]
        offered = "v1"
        versions = [{ name = "v1", layers = "four" }]
    "#;
    let result = daemon.apply(bad, &[]).await;
    assert_eq!(result.status, 2);
    let (_, mistakes) = result.errors.split_once("resources.toml: ").expect("file");
    insta::assert_snapshot!(mistakes, @r#"
    8 mistake(s), nothing was sent:
      modle: unknown kind, known: target, model, pipeline, service, organisation
      target.e1.adress: unknown field `adress`, expected one of `kind`, `zone`, `address`, `accelerator`, `tokens_per_second`, `concurrency`, `fencing`, `phase`
      target.e1.concurrency: invalid value: integer `-1`, expected u32
      target.e1.kind: unknown variant `robot`, expected `engine` or `service`
      model.reader.versions[0].layers: invalid type: string "four", expected u32
      pipeline.fast.stages.first_layer: 3 is not allowed, the layer after the stage before
      service: expected tables [service.NAME]
      organisation.desk.token_digest: a value is not allowed, 64 lower-case hex digits
    "#);
    assert!(daemon.state.lock().changes.is_empty());
    assert_eq!(
        parse_resources(""),
        Err(vec!["the file declares nothing".to_owned()])
    );
}

fn force(in_force: u64, hosts: &[(&str, u64, bool)]) -> ForceView {
    let hosts = hosts
        .iter()
        .map(|&(host, applied, reachable)| HostForceView {
            host: host.into(),
            applied,
            reachable,
            draining: false,
        });
    ForceView {
        in_force,
        hosts: hosts.collect(),
    }
}

#[tokio::test]
async fn watch_shows_each_progress_until_every_host_has_it() {
    let daemon = FakeDaemon::spawn();
    daemon.state.lock().force = VecDeque::from([
        force(4, &[("h1", 6, true), ("h2", 4, true), ("h3", 0, false)]),
        force(4, &[("h1", 7, true), ("h2", 4, true), ("h3", 0, false)]),
        force(6, &[("h1", 7, true), ("h2", 6, true), ("h3", 0, false)]),
        force(6, &[("h1", 7, true), ("h2", 6, true), ("h3", 6, true)]),
    ]);
    let watched = daemon.run(&["watch"]).await;
    assert_eq!(watched.status, 0, "{}", watched.errors);
    insta::assert_snapshot!(watched.output, @r#"
    version 5 is not in force everywhere; behind: h2 (has 3); cannot be reached: h3 (has nothing)
    version 5 is not in force everywhere; cannot be reached: h3 (has nothing)
    version 5 is in force everywhere
    "#);
}

/// A host that is cut off before a change may still serve the old configuration, so the
/// change must not be reported as in force everywhere.
#[tokio::test]
async fn watch_does_not_end_while_a_host_that_is_cut_off_may_lack_the_change() {
    let cut_off = force(6, &[("h1", 6, true), ("h3", 2, false)]);
    assert!(!rollout_progress(&cut_off, 6).done);
    assert!(rollout_progress(&cut_off, 2).done);
    assert!(!rollout_progress(&force(5, &[]), 6).done);

    let daemon = FakeDaemon::spawn();
    daemon.state.lock().force = VecDeque::from([cut_off]);
    let watched = daemon
        .run(&["watch", "--version", "5", "--timeout", "1ms"])
        .await;
    assert_eq!(watched.status, 4);
    insta::assert_snapshot!(watched.errors, @r#"
    not in force everywhere in time: version 5 is not in force everywhere; cannot be reached: h3 (has 1)
    Continue with `jackdawwick watch --version 5`, and check the hosts listed.
    "#);
}

#[tokio::test]
async fn status_and_explain_are_tables_without_control_characters() {
    let daemon = FakeDaemon::spawn();
    let status = daemon.run(&["status"]).await;
    let explained = daemon.run(&["explain", "r/1"]).await;
    insta::assert_snapshot!(status.output + &explained.output, @r#"
    HOST     ZONE  READY  DRAINING  APPLIED
    entry-1  a     yes    no        7

    TARGET  ZONE  USABLE  IN FLIGHT  CONDITION
    e1      a     no      2          ejected
    TIME                      SUBJECT  DECISION
    1970-01-01T00:00:01.000Z  run      route e1: least queue?[2J
    "#);
    for request in ["r2", "dropped"] {
        let nothing = daemon.run(&["explain", request]).await;
        assert_eq!(nothing.status, 1);
        assert!(
            nothing.errors.contains("Ask the entry host"),
            "{}",
            nothing.errors
        );
    }
}

#[tokio::test]
async fn refusals_say_what_to_do_next_and_show_no_token() {
    let daemon = FakeDaemon::spawn();
    let server = daemon.handle.local_address();
    let refused = run_against(server, "wrong-token", &["status"]).await;
    assert_eq!(refused.status, 1);
    assert!(
        refused.errors.contains("section [operators]"),
        "{}",
        refused.errors
    );
    assert!(
        !refused.errors.contains("wrong-token"),
        "{}",
        refused.errors
    );
    let unknown = daemon.run(&["delete", "model", "nobody"]).await;
    assert!(
        unknown.errors.contains("there is no model/nobody"),
        "{}",
        unknown.errors
    );
    for (token, arguments) in [
        ("", &["status"][..]),
        ("a\nb", &["status"]),
        ("t", &["status", "--server", "localhost:1"]),
        ("t", &["get", "modle"]),
        ("t", &["apply", "/nowhere/at/all"]),
        ("t", &["status", "--token-file", "/nowhere/at/all"]),
        ("t", &[]),
    ] {
        let result = run_against(server, token, arguments).await;
        assert_eq!(result.status, 2, "{arguments:?}: {}", result.errors);
    }
}

/// If the connection breaks after the change arrived, the change may have taken effect.
/// The message must differ from that of a connection that never opened, or the operator
/// may repeat a change or give up one that took effect.
#[tokio::test]
async fn a_lost_response_differs_from_an_unreachable_server() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let server = listener.local_addr().expect("address");
    let reader = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection");
        stream.read(&mut [0; 1024]).expect("request")
    });
    let lost = run_against(server, "t", &["status"]).await;
    assert!(reader.join().expect("reader") > 0);
    assert_eq!(lost.status, 1);
    assert!(
        lost.errors.contains("may have taken effect"),
        "{}",
        lost.errors
    );

    // Bound but not listening: it refuses connections, and no other process can get the
    // port.
    let socket = TcpSocket::new_v4().expect("socket");
    socket
        .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("port");
    let server = socket.local_addr().expect("address");
    let absent = run_against(server, "t", &["status"]).await;
    assert_eq!(absent.status, 1);
    assert!(absent.errors.contains("cannot reach"), "{}", absent.errors);
}

#[test]
fn the_program_itself_exits_with_the_status() {
    let program = env!("CARGO_BIN_EXE_jackdawwick");
    let run = |arguments: &[&str]| {
        std::process::Command::new(program)
            .args(arguments)
            .env_remove("JACKDAWWICK_SERVER")
            .output()
            .expect("started")
    };
    assert_eq!(run(&["--help"]).status.code(), Some(0));
    assert_eq!(run(&["status"]).status.code(), Some(2));
}

/// New users copy from the documented sample, so it must be valid.
#[test]
fn the_sample_of_resources_is_valid_and_names_every_kind() {
    let resources = parse_resources(include_str!("../docs/resources.toml")).unwrap_or_default();
    for kind in ResourceKind::ALL {
        let named = resources
            .iter()
            .filter(|resource| resource.key.kind == kind);
        assert!(named.count() > 0, "{}", kind.name());
    }
}
