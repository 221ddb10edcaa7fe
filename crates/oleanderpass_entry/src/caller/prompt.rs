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

/// The shortest prefix that is hashed, in tokens. Each further one is twice as long as the one
/// before. Engines use the same lengths in their cache events.
const SHORTEST_PREFIX_TOKENS: u64 = 256;

/// The limit for generated tokens when the caller sets none.
const DEFAULT_MAX_OUTPUT_TOKENS: u64 = 1_024;

/// The fields of a request that the instance uses. The engine receives the body unchanged, with all
/// of its fields.
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

/// A text in one string or in parts.
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

/// The generation interface that a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interface {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Completion,
}

/// The content of a generation request, as far as the instance uses it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// The model as the caller named it, with its adapter if it has one.
    pub model: SmolStr,
    /// The model and the adapter, parsed from `model`.
    pub target: Target,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the last event of a stream carries the usage.
    pub include_usage: bool,
    /// The length of the prompt, estimated from its bytes.
    pub tokens: Tokens,
    /// The limit for generated tokens.
    pub max_output: Tokens,
    /// Hashes of prefixes of the prompt, the shortest first.
    pub prefixes: Vec<Prefix>,
}

impl Prompt {
    /// Parse the JSON body of a request.
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
            max_output: Tokens::new(max_output.unwrap_or(DEFAULT_MAX_OUTPUT_TOKENS)),
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

/// Return the text of the prompt. In a chat it has the role of each message before the content.
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

/// Hash the prefixes of the text. Their token counts are estimated from the bytes.
fn hash_prefixes(text: &[u8]) -> Vec<Prefix> {
    let mut hash = Xxh3::new();
    let mut hashed_bytes = 0;
    let mut prefixes = Vec::new();
    let mut tokens = SHORTEST_PREFIX_TOKENS;
    while let Some(chunk) = usize::try_from(tokens * BYTES_PER_TOKEN)
        .ok()
        .and_then(|end| text.get(hashed_bytes..end))
    {
        hash.update(chunk);
        hashed_bytes += chunk.len();
        prefixes.push(Prefix {
            hash: hash.digest(),
            tokens: Tokens::new(tokens),
        });
        tokens *= 2;
    }
    prefixes
}
