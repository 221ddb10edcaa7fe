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

/// The time for an answer of the platform, on top of the wait of a watch.
const ANSWER: Duration = Duration::from_secs(3);

/// The largest accepted instance list, in bytes: 12,410 entries of about 150 bytes, doubled.
const MAX_LIST_BYTES: u64 = 4_000_000;

/// The space that a document may take above its limit, so that the checker reports the excess.
const DOCUMENT_SLACK_BYTES: u64 = 1_024;

/// A read that the core asks for.
#[derive(Clone, Copy, Debug)]
pub struct DocumentRead {
    /// The generation that the instance holds.
    pub after: Generation,
    /// The time in which the platform holds the call.
    pub wait: Millis,
}

/// The channels to the reader threads.
#[derive(Clone, Debug)]
pub struct PlatformReaders {
    documents: Sender<DocumentRead>,
    lists: Sender<()>,
}

impl PlatformReaders {
    /// Start one thread for the document and one for the instance list. They end with the
    /// channels.
    ///
    /// # Errors
    ///
    /// Return the cause when a thread can't be started.
    pub fn spawn(addr: SocketAddr, config_key: SmolStr, shared: Arc<Shared>) -> eyre::Result<Self> {
        let (documents, document_reads) = mpsc::channel::<DocumentRead>();
        let (lists, list_reads) = mpsc::channel();
        let core = shared.core.clone();
        let document_shared = Arc::clone(&shared);
        thread::Builder::new()
            .name("platform-list".to_owned())
            .spawn(move || {
                let mut reader = ListReader::new(addr, Arc::clone(&shared));
                for () in list_reads {
                    shared.core.send_event(reader.read());
                }
            })
            .wrap_err("start the reader of the instance list")?;
        thread::Builder::new()
            .name("platform-config".to_owned())
            .spawn(move || {
                for read in document_reads {
                    let event = read_document(addr, &config_key, read);
                    if let Event::DocumentText(text) = &event {
                        let metrics = &document_shared.metrics;
                        metrics.count_control_bytes(ControlTraffic::Documents, text.len());
                    }
                    if !matches!(event, Event::DocumentReadFailed { .. }) {
                        document_shared.note_platform_answer();
                    }
                    core.send_event(event);
                }
            })
            .wrap_err("start the reader of the document")?;
        Ok(Self { documents, lists })
    }

    /// Read the document once.
    pub fn read_document(&self, read: DocumentRead) {
        let _ = self.documents.send(read);
    }

    /// Read the instance list once.
    pub fn read_list(&self) {
        let _ = self.lists.send(());
    }
}

/// Read the instance list and keep the last one.
struct ListReader {
    addr: SocketAddr,
    agent: Agent,
    shared: Arc<Shared>,
    /// The last text and its checked form. The list rarely changes between two reads, and parsing
    /// one of the largest size takes longer than comparing it.
    held: Option<(Arc<str>, Arc<InstanceList>)>,
}

impl ListReader {
    fn new(addr: SocketAddr, shared: Arc<Shared>) -> Self {
        Self {
            addr,
            agent: agent(ANSWER),
            shared,
            held: None,
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
        let text = self.fetch()?;
        self.shared.note_platform_answer();
        self.shared
            .metrics
            .count_control_bytes(ControlTraffic::InstanceLists, text.len());
        if let Some((held, list)) = &self.held
            && **held == text
        {
            return Ok(Arc::clone(list));
        }
        let list = Arc::new(parse_list(&text)?);
        let text: Arc<str> = text.into();
        self.shared.list.send_replace(Some(Arc::clone(&text)));
        self.held = Some((text, Arc::clone(&list)));
        Ok(list)
    }

    fn fetch(&self) -> eyre::Result<String> {
        let url = format!("http://{}/v1/instances", self.addr);
        let mut answer = self.agent.get(&url).call().wrap_err("request")?;
        answer
            .body_mut()
            .with_config()
            .limit(MAX_LIST_BYTES)
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

/// Read the text of a later document, or `None` when the platform answers without content.
fn fetch_document(addr: SocketAddr, key: &str, read: DocumentRead) -> eyre::Result<Option<String>> {
    let url = format!(
        "http://{addr}/v1/config/{key}?after={}&wait_ms={}",
        read.after,
        read.wait.get()
    );
    let agent = agent(Duration::from(read.wait) + ANSWER);
    let mut answer = agent.get(&url).call().wrap_err("request")?;
    if answer.status() != 200 {
        return Ok(None);
    }
    let text = answer
        .body_mut()
        .with_config()
        .limit(MAX_DOCUMENT_BYTES as u64 + DOCUMENT_SLACK_BYTES)
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

/// Read the text of an instance list.
///
/// # Errors
///
/// Return the cause when the text isn't an instance list.
pub fn parse_list(text: &str) -> eyre::Result<InstanceList> {
    let raw: raw::InstanceList = serde_json::from_str(text).wrap_err("parse")?;
    validate_instance_list(&raw)
}

/// Turn a raw instance list into a checked one.
///
/// # Errors
///
/// Return the first wrong entry and its cause. A list with a wrong entry is rejected whole, so
/// that an instance does not act on a part of it.
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
