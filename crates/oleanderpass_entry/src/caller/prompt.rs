//! Parse the JSON of a generation request.

use oleanderpass_core::event::Prefix;
use oleanderpass_core::event::Target;
use oleanderpass_types::size::BYTES_PER_TOKEN;
use oleanderpass_types::size::Bytes;
use oleanderpass_types::size::Tokens;
use serde::Deserialize;
use smol_str::SmolStr;
use smol_str::ToSmolStr;
use smol_str::format_smolstr;
use xxhash_rust::xxh3::Xxh3;

/// The shortest hashed prefix, in tokens. Longer ones double it, as engines' cache events do.
const SHORTEST_PREFIX_TOKENS: u64 = 256;

/// The most tokens to generate when the caller names none.
const DEFAULT_MAX_OUTPUT: u64 = 1_024;

/// The JSON of a request. Other fields pass to the engine unread.
#[derive(Deserialize)]
struct RawPrompt {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    prompt: Option<Text>,
    #[serde(default)]
    stream: bool,
    stream_options: Option<StreamOptions>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: Option<Text>,
}

/// A text, or the parts of one.
#[derive(Deserialize)]
#[serde(untagged)]
enum Text {
    Plain(String),
    Parts(Vec<Part>),
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Part {
    Plain(String),
    Typed {
        #[serde(default)]
        text: String,
    },
}

impl Text {
    fn append_to(&self, buf: &mut String) {
        match self {
            Text::Plain(text) => buf.push_str(text),
            Text::Parts(parts) => {
                for part in parts {
                    let (Part::Plain(text) | Part::Typed { text }) = part;
                    buf.push_str(text);
                }
            }
        }
    }
}

/// Which of the two generation interfaces a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interface {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Completion,
}

/// What the instance needs to know of a generation request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// The model as the caller named it.
    pub model: SmolStr,
    /// The model and its adapter.
    pub target: Target,
    /// Send tokens as they arrive.
    pub stream: bool,
    /// Send the usage at the end of a stream.
    pub include_usage: bool,
    /// The estimated length of the prompt.
    pub tokens: Tokens,
    /// The most tokens to generate.
    pub max_output: Tokens,
    /// Hashes of prefixes of the prompt.
    pub prefixes: Vec<Prefix>,
}

impl Prompt {
    /// Parse the body of a request.
    ///
    /// # Errors
    ///
    /// Return what is wrong with the JSON.
    pub fn parse(interface: Interface, body: &[u8]) -> Result<Self, SmolStr> {
        let raw: RawPrompt = serde_json::from_slice(body)
            .map_err(|error| format_smolstr!("invalid JSON: {error}"))?;
        let text = prompt_text(interface, &raw)?;
        let max_output = raw.max_completion_tokens.or(raw.max_tokens);
        Ok(Self {
            target: parse_model(&raw.model)?,
            model: raw.model.into(),
            stream: raw.stream,
            include_usage: raw.stream_options.is_some_and(|opts| opts.include_usage),
            tokens: Tokens::estimate(Bytes::new(text.len() as u64)),
            max_output: Tokens::new(max_output.unwrap_or(DEFAULT_MAX_OUTPUT)),
            prefixes: hash_prefixes(text.as_bytes()),
        })
    }
}

/// Parse `MODEL` or `MODEL:ADAPTER`.
fn parse_model(text: &str) -> Result<Target, SmolStr> {
    let (model, adapter) = match text.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (text, None),
    };
    let adapter = adapter
        .map(str::parse)
        .transpose()
        .map_err(|error: oleanderpass_types::id::InvalidId| error.to_smolstr())?;
    Ok(Target::Model {
        model: model
            .parse()
            .map_err(|error: oleanderpass_types::id::InvalidId| error.to_smolstr())?,
        adapter,
    })
}

fn prompt_text(interface: Interface, raw: &RawPrompt) -> Result<String, SmolStr> {
    let mut text = String::new();
    match interface {
        Interface::Chat => {
            if raw.messages.is_empty() {
                return Err("messages: must not be empty".into());
            }
            for message in &raw.messages {
                text.push_str(&message.role);
                text.push('\n');
                if let Some(content) = &message.content {
                    content.append_to(&mut text);
                }
                text.push('\n');
            }
        }
        Interface::Completion => match &raw.prompt {
            Some(prompt) => prompt.append_to(&mut text),
            None => return Err("prompt: is missing".into()),
        },
    }
    Ok(text)
}

fn hash_prefixes(text: &[u8]) -> Vec<Prefix> {
    let mut hash = Xxh3::new();
    let mut hashed = 0;
    let mut prefixes = Vec::new();
    let mut tokens = SHORTEST_PREFIX_TOKENS;
    while let Some(piece) = usize::try_from(tokens * BYTES_PER_TOKEN)
        .ok()
        .and_then(|end| text.get(hashed..end))
    {
        hash.update(piece);
        hashed += piece.len();
        prefixes.push(Prefix {
            hash: hash.digest(),
            tokens: Tokens::new(tokens),
        });
        tokens *= 2;
    }
    prefixes
}
