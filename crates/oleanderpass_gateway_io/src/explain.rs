//! Answer operators who ask what the instance would do with a request now.
//!
//! The query is encoded and decoded here only, so that the command and the instance agree. The key
//! travels in a header: addresses of requests end up in logs of proxies.

use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use eyre::eyre;
use http::HeaderMap;
use http::StatusCode;
use oleanderpass_platform::request;
use oleanderpass_types::size::Tokens;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::percent_decode_str;
use percent_encoding::utf8_percent_encode;
use strum::Display;
use strum::EnumString;

use crate::instance::SharedInstance;

/// The path of explanations at the metrics address.
pub const PATH: &str = "/explain";

/// The format of an explanation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// One `key: value` pair per line.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// The request to explain, without its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// The host that the request names.
    pub host: String,
    /// The path and query.
    pub path: String,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The largest number of tokens that may be generated.
    pub max_output: Tokens,
    /// The format of the answer.
    pub format: Format,
}

impl Query {
    /// Encode the query for an address.
    pub fn encode(&self) -> String {
        let encode = |text| utf8_percent_encode(text, NON_ALPHANUMERIC);
        format!(
            "host={}&path={}&prompt={}&max_output={}&format={}",
            encode(&self.host),
            encode(&self.path),
            self.prompt.get(),
            self.max_output.get(),
            self.format
        )
    }

    /// Decode the query of an address.
    ///
    /// # Errors
    ///
    /// Return the cause if a field is unknown, missing or invalid.
    pub fn decode(query: &str) -> Result<Self> {
        let (mut host, mut path) = (None, None);
        let (mut prompt, mut max_output) = (0, 0);
        let mut format = Format::default();
        for field in query.split('&').filter(|field| !field.is_empty()) {
            let (name, value) = field.split_once('=').unwrap_or((field, ""));
            let value = percent_decode_str(value)
                .decode_utf8()
                .wrap_err_with(|| format!("{name}: not UTF-8"))?;
            let number = || value.parse::<u64>().wrap_err_with(|| name.to_owned());
            match name {
                "host" => host = Some(value.to_string()),
                "path" => path = Some(value.to_string()),
                "prompt" => prompt = number()?,
                "max_output" => max_output = number()?,
                "format" => format = value.parse().wrap_err_with(|| name.to_owned())?,
                _ => bail!("unknown field {name}"),
            }
        }
        Ok(Self {
            host: host.ok_or_else(|| eyre!("host: missing"))?,
            path: path.ok_or_else(|| eyre!("path: missing"))?,
            prompt: Tokens::new(prompt),
            max_output: Tokens::new(max_output),
            format,
        })
    }
}

/// Return the status and the body of the answer to a request for an explanation.
pub(crate) fn answer(
    instance: &SharedInstance,
    headers: &HeaderMap,
    query: Option<&str>,
) -> (StatusCode, String) {
    match explain(instance, headers, query.unwrap_or_default()) {
        Ok(text) => (StatusCode::OK, text),
        Err(error) => (StatusCode::BAD_REQUEST, format!("{error:#}\n")),
    }
}

fn explain(instance: &SharedInstance, headers: &HeaderMap, query: &str) -> Result<String> {
    let query = Query::decode(query)?;
    let key = request::decode_key(headers)?;
    let explanation = instance.gateway.borrow().explain(
        instance.now(),
        &query.host,
        &query.path,
        key.as_deref(),
        query.prompt,
        query.max_output,
    );
    match query.format {
        Format::Text => Ok(explanation.to_string()),
        Format::Json => Ok(serde_json::to_string_pretty(&explanation)? + "\n"),
    }
}
