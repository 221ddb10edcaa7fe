//! Read the environment document and the instance list from the platform in blocking threads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;

use eyre::WrapErr;
use oleanderpass_config::document::MAX_DOCUMENT_BYTES;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::InstanceList;
use oleanderpass_core::event::ListedInstance;
use oleanderpass_core::event::ListedServer;
use oleanderpass_proto::platform as raw;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::Generation;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use ureq::Agent;

use crate::metrics::ControlTraffic;
use crate::shared::Shared;

/// The timeout of a request to the platform, on top of the time for which the platform is asked to
/// hold the request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// The largest accepted instance list, in bytes: 12,410 entries of about 150 bytes, doubled.
const MAX_INSTANCE_LIST_BYTES: u64 = 4_000_000;

/// The number of bytes above the size limit that are still read of a document, so that the
/// document's check rejects it for its size.
const DOCUMENT_EXCESS_BYTES: u64 = 1_024;

/// A read of the environment document that the core asks for.
#[derive(Clone, Copy, Debug)]
pub struct DocumentRead {
    /// The generation of the latest document that the instance has. The platform answers with a
    /// document of a later one.
    pub after: Generation,
    /// How long the platform holds the request while it has no later generation.
    pub wait: Millis,
}

/// The channels to the reader threads.
#[derive(Clone, Debug)]
pub struct PlatformReaders {
    document_reads: Sender<DocumentRead>,
    list_reads: Sender<()>,
}

impl PlatformReaders {
    /// Start one thread for the document and one for the instance list. They end when the last
    /// clone of the returned value is dropped.
    ///
    /// # Errors
    ///
    /// Return the cause when a thread can't be started.
    pub fn spawn(addr: SocketAddr, config_key: SmolStr, shared: Arc<Shared>) -> eyre::Result<Self> {
        let (document_reads, pending_document_reads) = mpsc::channel::<DocumentRead>();
        let (list_reads, pending_list_reads) = mpsc::channel();
        let core = shared.core.clone();
        let document_shared = Arc::clone(&shared);
        thread::Builder::new()
            .name("platform-list".to_owned())
            .spawn(move || {
                let mut reader = ListReader::new(addr, Arc::clone(&shared));
                for () in pending_list_reads {
                    shared.core.send_event(reader.read());
                }
            })
            .wrap_err("start the reader of the instance list")?;
        thread::Builder::new()
            .name("platform-config".to_owned())
            .spawn(move || {
                for read in pending_document_reads {
                    let event = read_document(addr, &config_key, read);
                    if let Event::DocumentText(text) = &event {
                        let metrics = &document_shared.metrics;
                        metrics.count_control_bytes(ControlTraffic::Documents, text.len());
                    }
                    if !matches!(event, Event::DocumentReadFailed { .. }) {
                        document_shared.record_platform_answer();
                    }
                    core.send_event(event);
                }
            })
            .wrap_err("start the reader of the document")?;
        Ok(Self {
            document_reads,
            list_reads,
        })
    }

    /// Ask the reader thread to read the document once.
    pub fn read_document(&self, read: DocumentRead) {
        let _ = self.document_reads.send(read);
    }

    /// Ask the reader thread to read the instance list once.
    pub fn read_list(&self) {
        let _ = self.list_reads.send(());
    }
}

/// Reads the instance list and keeps the last one.
struct ListReader {
    addr: SocketAddr,
    agent: Agent,
    shared: Arc<Shared>,
    /// The text of the last valid list and its parsed form. The list rarely changes between two
    /// reads, and parsing a list of the largest size takes longer than comparing its text.
    last: Option<(Arc<str>, Arc<InstanceList>)>,
}

impl ListReader {
    fn new(addr: SocketAddr, shared: Arc<Shared>) -> Self {
        Self {
            addr,
            agent: agent(ANSWER_TIMEOUT),
            shared,
            last: None,
        }
    }

    fn read(&mut self) -> Event {
        match self.read_list() {
            Ok(list) => Event::InstanceList(list),
            Err(error) => Event::InstanceListFailed {
                cause: format_smolstr!("{error:#}"),
            },
        }
    }

    fn read_list(&mut self) -> eyre::Result<Arc<InstanceList>> {
        let text = self.fetch_text()?;
        self.shared.record_platform_answer();
        self.shared
            .metrics
            .count_control_bytes(ControlTraffic::InstanceLists, text.len());
        if let Some((last_text, list)) = &self.last
            && **last_text == text
        {
            return Ok(Arc::clone(list));
        }
        let list = Arc::new(parse_instance_list(&text)?);
        let text: Arc<str> = text.into();
        self.shared
            .instance_list
            .send_replace(Some(Arc::clone(&text)));
        self.last = Some((text, Arc::clone(&list)));
        Ok(list)
    }

    fn fetch_text(&self) -> eyre::Result<String> {
        let url = format!("http://{}/v1/instances", self.addr);
        let mut answer = self.agent.get(&url).call().wrap_err("request")?;
        answer
            .body_mut()
            .with_config()
            .limit(MAX_INSTANCE_LIST_BYTES)
            .read_to_string()
            .wrap_err("read")
    }
}

fn read_document(addr: SocketAddr, key: &str, read: DocumentRead) -> Event {
    match fetch_document(addr, key, read) {
        Ok(Some(text)) => Event::DocumentText(text.into()),
        Ok(None) => Event::DocumentUnchanged,
        Err(error) => Event::DocumentReadFailed {
            cause: format_smolstr!("{error:#}"),
        },
    }
}

/// Fetch the text of a later document, or return `None` when the platform answers without one.
fn fetch_document(addr: SocketAddr, key: &str, read: DocumentRead) -> eyre::Result<Option<String>> {
    let url = format!(
        "http://{addr}/v1/config/{key}?after={}&wait_ms={}",
        read.after,
        read.wait.get()
    );
    let agent = agent(Duration::from(read.wait) + ANSWER_TIMEOUT);
    let mut answer = agent.get(&url).call().wrap_err("request")?;
    if answer.status() != 200 {
        return Ok(None);
    }
    let text = answer
        .body_mut()
        .with_config()
        .limit(MAX_DOCUMENT_BYTES as u64 + DOCUMENT_EXCESS_BYTES)
        .read_to_string()
        .wrap_err("read")?;
    Ok(Some(text))
}

fn agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .timeout_global(Some(timeout))
        .build()
        .into()
}

/// Parse and validate the text of an instance list.
///
/// # Errors
///
/// Return the cause when the text isn't an instance list.
pub fn parse_instance_list(text: &str) -> eyre::Result<InstanceList> {
    let raw: raw::InstanceList = serde_json::from_str(text).wrap_err("parse")?;
    validate_instance_list(&raw)
}

/// Validate an instance list and convert it to the core's types.
///
/// # Errors
///
/// Return the first invalid entry and the cause. One invalid entry rejects the whole list, so that
/// an instance never acts on a part of it.
pub fn validate_instance_list(raw: &raw::InstanceList) -> eyre::Result<InstanceList> {
    let mut list = InstanceList::default();
    for entry in &raw.entry_instances {
        let context = || format!("entry instance `{}`", entry.id);
        list.entry_instances.push(ListedInstance {
            id: entry.id.parse().wrap_err_with(context)?,
            zone: entry.zone.parse().wrap_err_with(context)?,
            peer_addr: entry.peer_addr.parse().wrap_err_with(context)?,
            state: entry.state.parse().wrap_err_with(context)?,
        });
    }
    for server in &raw.backend_servers {
        let context = || format!("backend server `{}`", server.id);
        list.backend_servers.push(ListedServer {
            id: server.id.parse().wrap_err_with(context)?,
            service: server.service.parse().wrap_err_with(context)?,
            zone: server.zone.parse().wrap_err_with(context)?,
            addr: server.addr.parse().wrap_err_with(context)?,
            state: server.state.parse().wrap_err_with(context)?,
        });
    }
    Ok(list)
}
