//! Call the platform's store, and keep calls in flight that are not answered in time.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use oleanderpass_gateway::memory::Share;
use oleanderpass_gateway::store::Content;
use oleanderpass_gateway::store::StoreItem;
use oleanderpass_gateway::store::StorePosition;
use oleanderpass_gateway::store_reader;
use oleanderpass_gateway::transfer::STALL_TIME;
use oleanderpass_gateway::transfer::Transfer;
use oleanderpass_platform::store;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use smol_str::SmolStr;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;

use crate::body::RequestBody;
use crate::connection;
use crate::connection::Connection;
use crate::instance::SharedInstance;
use crate::receive;
use crate::receive::ReceiveError;
use crate::store::decode;

/// The time from the start of a call within which a failure of a connection that has carried others
/// means that the store had closed it before, as it may after each answer. A connection that breaks
/// later shows that the store is down.
const CLOSED_BEFORE_TIME: Millis = Millis::new(100);

/// A kind of call to the store.
pub(crate) enum CallKind {
    /// The list of backend servers and the operators' items.
    ReadAll,
    /// A call for changes.
    Watch { path: String, timeout: Millis },
}

/// What the store answered, and the connection on which it did.
pub(crate) struct Answered {
    pub(crate) content: AnsweredContent,
    pub(crate) connection: Option<Connection>,
}

/// The content of an answer.
pub(crate) enum AnsweredContent {
    All {
        position: StorePosition,
        servers: Vec<StoreItem>,
        operator_items: Vec<StoreItem>,
    },
    Changes {
        position: StorePosition,
        items: Vec<StoreItem>,
    },
    HistoryLost,
}

/// The calls to the store in flight: the current one, and earlier ones that weren't answered in
/// time.
#[derive(Default)]
pub(crate) struct Calls {
    tasks: JoinSet<(u64, Result<Answered>)>,
    /// The calls in the order in which they began.
    open: VecDeque<OpenCall>,
    /// The number of calls that have begun.
    begun: u64,
    /// The number of the current call.
    current: Option<u64>,
}

struct OpenCall {
    number: u64,
    began: Timestamp,
    task: AbortHandle,
}

impl Calls {
    /// Begin the current call. Return its progress.
    pub(crate) fn begin(
        &mut self,
        instance: &SharedInstance,
        kind: CallKind,
        connection: Option<Connection>,
    ) -> Rc<Cell<Transfer>> {
        let began = instance.now();
        let timeout = match &kind {
            CallKind::ReadAll => STALL_TIME,
            CallKind::Watch { timeout, .. } => *timeout,
        };
        let transfer = Rc::new(Cell::new(Transfer::new(began, timeout)));
        let number = self.begun;
        self.begun += 1;
        self.current = Some(number);
        let call = StoreCall {
            instance: instance.clone(),
            connection,
            transfer: transfer.clone(),
        };
        let task = self.tasks.spawn_local(async move {
            let answered = match kind {
                CallKind::ReadAll => call.read_all().await,
                CallKind::Watch { path, .. } => call.watch(&path).await,
            };
            (number, answered)
        });
        self.open.push_back(OpenCall {
            number,
            began,
            task,
        });
        transfer
    }

    /// Wait for the first answer, and return when its call began. Return an error if the current
    /// call fails.
    pub(crate) async fn answer(&mut self) -> Result<(Timestamp, Answered)> {
        loop {
            let Some(ended) = self.tasks.join_next().await else {
                return std::future::pending().await;
            };
            // A call that was ended by this instance has no result.
            let Ok((number, result)) = ended else {
                continue;
            };
            let index = self.open.iter().position(|call| call.number == number);
            let Some(call) = index.and_then(|index| self.open.remove(index)) else {
                continue;
            };
            match result {
                Ok(answered) => return Ok((call.began, answered)),
                Err(error) if self.current == Some(number) => return Err(error),
                Err(error) => {
                    tracing::debug!(error = format!("{error:#}"), "a late call failed");
                }
            }
        }
    }

    /// Wait for the answer to a late call while there is no current one.
    pub(crate) async fn late_answer(&mut self) -> (Timestamp, Answered) {
        loop {
            if let Ok(answered) = self.answer().await {
                return answered;
            }
        }
    }

    /// Let the current call go on beside the next one. End those that are too many or too old.
    pub(crate) fn set_late(&mut self, now: Timestamp) {
        self.current = None;
        let late = |open: &VecDeque<OpenCall>| {
            store_reader::late_call_to_end(now, open.iter().map(|call| call.began))
        };
        while let Some(ended) = late(&self.open).and_then(|index| self.open.remove(index)) {
            ended.task.abort();
        }
    }

    /// End all calls.
    pub(crate) fn clear(&mut self) {
        self.current = None;
        self.open.clear();
        self.tasks.abort_all();
    }
}

/// A call to the store, of one or more requests.
struct StoreCall {
    instance: SharedInstance,
    /// The open connection, if there is one.
    connection: Option<Connection>,
    transfer: Rc<Cell<Transfer>>,
}

impl StoreCall {
    /// Read the list of backend servers and the operators' items.
    async fn read_all(mut self) -> Result<Answered> {
        let mut servers = Vec::new();
        let mut first_position = None;
        let mut after: Option<SmolStr> = None;
        loop {
            let path = store::servers_path(after.as_deref());
            let answer = self.read("list", &path).await?;
            check_status(answer.status)?;
            let page = store::decode_page(&answer.body)?;
            // The pages together are not a snapshot. The watch starts at the position of the first
            // page, and so returns what changed while the others were read.
            let position = StorePosition::new(answer.era, page.revision);
            let first = first_position.get_or_insert(position);
            check_era(first.era, answer.era)?;
            after = page.items.last().map(|item| item.key.clone());
            let items = page.items.into_iter().map(|item| decode(answer.era, item));
            servers.extend(items.filter(|item| matches!(item.content, Content::Server(..))));
            if !page.more || after.is_none() {
                break;
            }
        }
        let position = first_position.unwrap_or_default();
        let operator_items = self.read_operator_items(position.era).await?;
        Ok(Answered {
            content: AnsweredContent::All {
                position,
                servers,
                operator_items,
            },
            connection: self.connection,
        })
    }

    /// Read the operators' items from the store: the configuration and the evacuations.
    async fn read_operator_items(&mut self, era: u64) -> Result<Vec<StoreItem>> {
        let mut items = Vec::new();
        let mut after: Option<SmolStr> = None;
        loop {
            let path = store::operator_items_path(after.as_deref());
            let answer = self.read("operator items", &path).await?;
            check_status(answer.status)?;
            check_era(era, answer.era)?;
            let page = store::decode_page(&answer.body)?;
            after = page.items.last().map(|item| item.key.clone());
            items.extend(page.items.into_iter().map(|item| decode(era, item)));
            if !page.more || after.is_none() {
                return Ok(items);
            }
        }
    }

    /// Read the changes after a position, or wait for the first one.
    async fn watch(mut self, path: &str) -> Result<Answered> {
        let answer = self.call("watch", path).await?;
        let content = if answer.status.as_u16() == store::HISTORY_LOST {
            AnsweredContent::HistoryLost
        } else {
            check_status(answer.status)?;
            let page = store::decode_page(&answer.body)?;
            let items = page.items.into_iter().map(|item| decode(answer.era, item));
            AnsweredContent::Changes {
                position: StorePosition::new(answer.era, page.revision),
                items: items.collect(),
            }
        };
        Ok(Answered {
            content,
            connection: self.connection,
        })
    }

    /// Send a request whose answer is to begin within [`STALL_TIME`].
    async fn read(&mut self, name: &str, path: &str) -> Result<Answer> {
        let now = self.instance.now();
        self.transfer.set(Transfer::new(now, STALL_TIME));
        self.call(name, path).await
    }

    /// Send a request to the store and count its result. Return the answer, however late it comes.
    async fn call(&mut self, name: &str, path: &str) -> Result<Answer> {
        let result = self.exchange(path).await;
        let result = result.wrap_err_with(|| name.to_owned());
        let label = match &result {
            Ok(answer) => answer.status.as_u16().to_string(),
            Err(_) => "failed".to_owned(),
        };
        let counter = &self.instance.metrics.store_calls;
        counter.with_label_values(&[name, &label]).inc();
        result
    }

    /// Send a request on the open connection, or on a new one if the store has closed it. Return
    /// the head of the answer.
    async fn send(&mut self, path: &str) -> Result<Response<Incoming>> {
        let instance = &self.instance;
        let addr = instance.settings.store_addr;
        let req = || {
            Request::get(path)
                .header(http::header::HOST, addr.to_string())
                .body(RequestBody::default())
        };
        if let Some(open) = &mut self.connection {
            let began = instance.now();
            match open.send(req()?).await {
                Ok(answer) => return Ok(answer),
                Err(ReceiveError::Broken(error))
                    if instance.now().since(began) < CLOSED_BEFORE_TIME =>
                {
                    tracing::debug!(%error, "the store closed an idle connection");
                }
                Err(error) => return Err(error.into()),
            }
        }
        let opened = connection::open(&instance.memory, addr).await?;
        let connection = self.connection.insert(opened);
        Ok(connection.send(req()?).await?)
    }

    async fn exchange(&mut self, path: &str) -> Result<Answer> {
        let answer = self.send(path).await?;
        let instance = &self.instance;
        let status = answer.status();
        let era = store::era(answer.headers()).unwrap_or(0);
        let body = answer.into_body();
        let (body, _share) = receive::document_of(&self.transfer, body, &instance.memory).await?;
        Ok(Answer {
            status,
            era,
            body,
            _share,
        })
    }
}

/// Return an error if the store was restored between two answers.
fn check_era(first: u64, second: u64) -> Result<()> {
    if first == second {
        Ok(())
    } else {
        bail!("the store was restored while it was read")
    }
}

/// An answer of the store.
struct Answer {
    status: StatusCode,
    /// The era of the store's history that it belongs to, or 0 if it names none.
    era: u64,
    body: Bytes,
    /// The memory of the body and of what is decoded from it.
    _share: Share,
}

/// Return an error unless the status is a success.
fn check_status(status: StatusCode) -> Result<()> {
    if status.is_success() {
        Ok(())
    } else {
        bail!("the store answered {status}")
    }
}
