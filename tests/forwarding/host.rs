//! The data path of an entry host over loopback, with tables that a test fills.

use std::net::SocketAddr;
use std::sync::Arc;

use jackdawwick::buffer::BufferPlan;
use jackdawwick::fleet::{LayerRange, TargetEntry};
use jackdawwick::forward::{ServingHandle, ServingTables, serve};
use jackdawwick::platform::configuration_record::parse_configuration;
use jackdawwick::retry::WindowSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub(crate) struct TestHost {
    pub(crate) tables: Arc<ServingTables>,
    serving: ServingHandle,
}

/// All bytes that a caller read until the connection closed.
#[derive(Debug)]
pub(crate) struct CallerResponse {
    pub(crate) text: String,
}

impl CallerResponse {
    pub(crate) fn status(&self) -> u16 {
        let status = self.text.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let head = self.text.split("\r\n\r\n").next()?;
        let pairs = head.lines().filter_map(|line| line.split_once(':'));
        let mut values = pairs.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value.trim())
    }

    /// Returns whether a stream ended with its last chunk.
    pub(crate) fn is_whole_stream(&self) -> bool {
        self.text.ends_with("0\r\n\r\n")
    }

    /// Returns the ids of the events in the order of their arrival.
    pub(crate) fn event_ids(&self) -> Vec<u32> {
        let lines = self.text.lines();
        lines
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect()
    }
}

impl TestHost {
    pub(crate) fn open() -> Self {
        Self::open_with(BufferPlan::default(), 4096)
    }

    /// Opens a host with a plan for its memory and a limit for bodies.
    pub(crate) fn open_with(plan: BufferPlan, body_bytes: usize) -> Self {
        let budget = WindowSettings {
            window: std::time::Duration::from_secs(10),
            ratio: 0.2,
            slack: 20.0,
            opened: std::time::Instant::now() - std::time::Duration::from_secs(10),
        };
        let tables = ServingTables::with_plan("h".into(), "z".into(), budget, plan);
        let tables = Arc::new(tables);
        let configuration = parse_configuration(configuration(body_bytes).as_bytes());
        let configuration = Arc::new(configuration.expect("a valid configuration"));
        tables.configuration.store(Some(configuration));
        let serving = serve(tables.clone(), ([127, 0, 0, 1], 0).into()).expect("a port");
        Self { tables, serving }
    }

    pub(crate) fn add_plain(&self, id: &str, address: SocketAddr) {
        self.add(id, "plain", address, None);
    }

    pub(crate) fn add_engine(&self, id: &str, address: SocketAddr, from: u32, to: u32) {
        self.add(id, "model", address, Some(LayerRange { from, to }));
    }

    fn add(&self, id: &str, service: &str, address: SocketAddr, layers: Option<LayerRange>) {
        self.tables.fleet.lock().observe_entry(TargetEntry {
            id: id.into(),
            started_ms: None,
            service: service.into(),
            address,
            zone: "z".into(),
            draining: false,
            kind: layers.map(|_| "fast".into()),
            layers,
        });
    }

    pub(crate) async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.serving.address)
            .await
            .expect("a connection")
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.serving.address
    }

    pub(crate) fn into_serving(self) -> ServingHandle {
        self.serving
    }

    /// Sends one request and reads until the connection closes.
    pub(crate) async fn call(&self, method: &str, path: &str, extra: &str) -> CallerResponse {
        let mut stream = self.connect().await;
        let request = request(method, path, extra);
        stream.write_all(request.as_bytes()).await.expect("sent");
        let mut bytes = Vec::new();
        // A truncated response may end in a reset; the bytes before it count.
        let _ = stream.read_to_end(&mut bytes).await;
        CallerResponse {
            text: String::from_utf8_lossy(&bytes).into_owned(),
        }
    }
}

pub(crate) fn request(method: &str, path: &str, extra: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Jackdawwick-Attempt-Id: r1\r\n\
         X-Jackdawwick-Deadline-Ms: 4000\r\nAuthorization: Bearer k1\r\nConnection: close\r\n\
         {extra}\r\n"
    )
}

fn configuration(body_bytes: usize) -> String {
    let route = |prefix: &str, kind: &str, service: &str| {
        serde_json::json!({
            "name": prefix, "host": "a.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": 3000, "target_latency_ms": 500, "gap_aim_ms": 200, "priority": 1,
            "service": service, "max_attempts": 2, "stream_resume": kind == "streaming"
        })
    };
    let mut once = route("/once/", "streaming", "model");
    once["max_attempts"] = 1.into();
    let mut fixed = route("/fixed/", "streaming", "model");
    fixed["stream_resume"] = false.into();
    let configuration = serde_json::json!({
        "version": 1,
        "routes": [
            route("/safe/", "safe", "plain"),
            route("/unsafe/", "unsafe", "plain"),
            route("/stream/", "streaming", "model"),
            once,
            fixed,
        ],
        "services": [
            {"name": "plain", "health_path": "/health"},
            {"name": "model", "health_path": "/health", "engine": {
                "kv_token_bytes": 918_000, "step_ms": 1.0, "per_seq_ms": 0.01,
                "context_per_k": 0.01, "read_per_s": 100_000.0, "stride": 3,
                "usual": {"prompt": 700, "answer": 200}, "layers": 80, "layer_mb": 875.0,
                "kind_list": [{"name": "fast", "mb": 80000.0, "pace": 2.0, "read_x": 3.0}]
            }}
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": body_bytes,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "org", "api_keys": ["k1"]}]
    });
    configuration.to_string()
}
