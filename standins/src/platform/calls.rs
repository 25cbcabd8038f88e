//! HTTP endpoints of the platform.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use jackdawwick::platform::wire::{AppendBody, AppendResponse, HostList};
use parking_lot::Mutex;
use tokio::time::sleep;

use super::log_store::{LogStore, ReadRange};
use super::settings::{PlatformFaults, PlatformSettings};
use crate::faults::FaultSwitch;
use crate::http_server::{CallOutcome, ServedCall};

#[derive(Debug)]
pub(super) struct PlatformCalls {
    pub(super) faults: FaultSwitch<PlatformFaults>,
    pub(super) store: LogStore,
    hosts_delay: Duration,
    hosts: Mutex<Vec<TimedList>>,
}

/// A host list with the time at which it becomes visible.
#[derive(Debug)]
struct TimedList {
    visible_at: Instant,
    list: HostList,
}

impl PlatformCalls {
    pub(super) fn new(settings: PlatformSettings) -> Self {
        let first_list = TimedList {
            visible_at: Instant::now(),
            list: settings.hosts,
        };
        Self {
            faults: FaultSwitch::new(PlatformFaults::default()),
            store: LogStore::new(settings.retention),
            hosts_delay: settings.hosts_delay,
            hosts: Mutex::new(vec![first_list]),
        }
    }

    pub(super) fn set_hosts(&self, list: HostList) {
        let visible_at = Instant::now() + self.hosts_delay;
        self.hosts.lock().push(TimedList { visible_at, list });
    }

    fn visible_hosts(&self, now: Instant) -> HostList {
        let hosts = self.hosts.lock();
        let visible = hosts.iter().rfind(|timed| timed.visible_at <= now);
        visible.map(|timed| timed.list.clone()).unwrap_or_default()
    }

    pub(super) async fn serve(&self, call: ServedCall) -> CallOutcome {
        match call.path().first() {
            Some(&"control") => self.serve_control(&call).unwrap_or_else(|outcome| outcome),
            _ => self.serve_faulty(&call).await,
        }
    }

    fn serve_control(&self, call: &ServedCall) -> Result<CallOutcome, CallOutcome> {
        match (&call.method, &call.path()[1..]) {
            (&Method::GET, ["faults"]) => return Ok(CallOutcome::ok(&self.faults.get())),
            (&Method::PUT, ["faults"]) => self.faults.set(call.json()?),
            (&Method::PUT, ["hosts"]) => self.set_hosts(call.json()?),
            (&Method::PUT, ["retention"]) => self.store.set_retention(call.json()?),
            (&Method::GET, ["streams", stream]) => {
                return Ok(CallOutcome::ok(&self.store.dump(stream)));
            }
            _ => return Err(CallOutcome::empty(StatusCode::NOT_FOUND)),
        }
        Ok(CallOutcome::empty(StatusCode::NO_CONTENT))
    }

    async fn serve_faulty(&self, call: &ServedCall) -> CallOutcome {
        self.faults.wait_until(|faults| !faults.hanging).await;
        let delay_ms = self.faults.read(|faults| faults.delay_ms);
        if delay_ms > 0 {
            sleep(Duration::from_millis(delay_ms)).await;
        }
        if self.faults.read(|faults| faults.outage) {
            return CallOutcome::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        match (&call.method, &call.path()[..]) {
            (&Method::POST, ["v1", "streams", stream, "records"]) => self.append(call, stream),
            (&Method::GET, ["v1", "streams", stream, "records"]) => self.read(call, stream).await,
            (&Method::GET, ["v1", "hosts"]) => CallOutcome::ok(&self.visible_hosts(Instant::now())),
            _ => CallOutcome::empty(StatusCode::NOT_FOUND),
        }
    }

    fn append(&self, call: &ServedCall, stream: &str) -> CallOutcome {
        let body = match call.json::<AppendBody>() {
            Ok(body) => body,
            Err(outcome) => return outcome,
        };
        if self.faults.take_one(|faults| &mut faults.lose_appends) {
            return CallOutcome::Close;
        }
        let first_offset = self.store.append(stream, body.records);
        if self
            .faults
            .take_one(|faults| &mut faults.lose_append_answers)
        {
            return CallOutcome::Close;
        }
        CallOutcome::ok(&AppendResponse { first_offset })
    }

    async fn read(&self, call: &ServedCall, stream: &str) -> CallOutcome {
        let range = ReadRange {
            from: call.query_number("from").unwrap_or(0),
            limit: call.query_number("limit"),
            wait: Duration::from_millis(call.query_number("wait_ms").unwrap_or(0)),
        };
        let result = self.store.read(stream, range).await;
        // A fault that began during the wait also affects waiting readers.
        self.faults.wait_until(|faults| !faults.hanging).await;
        match self.faults.read(|faults| faults.outage) {
            true => CallOutcome::empty(StatusCode::SERVICE_UNAVAILABLE),
            false => CallOutcome::ok(&result),
        }
    }
}
