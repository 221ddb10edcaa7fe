//! Print what a running instance would do with a request now, and why.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use oleanderpass_gateway_io::explain;
use oleanderpass_gateway_io::explain::Format;
use oleanderpass_gateway_io::explain::Query;
use oleanderpass_gateway_io::settings;
use oleanderpass_gateway_io::settings::Settings;
use oleanderpass_platform::SETTINGS_VARIABLE;
use oleanderpass_platform::request;
use oleanderpass_types::size::Tokens;
use ureq::Agent;

/// The timeout for the whole call to one instance. An instance that takes longer is as good as away.
const TIMEOUT: Duration = Duration::from_secs(3);

/// The request to explain, and whom to ask.
#[derive(Debug, Args)]
pub(crate) struct ExplainArgs {
    /// The metrics addresses of instances. The first one that answers is asked. Default: those of
    /// the settings file.
    #[arg(value_name = "ADDR")]
    addrs: Vec<SocketAddr>,
    /// The settings file (YAML): its own instance is asked first, then its seeds. Default: the path
    /// in the environment variable that the platform sets (`OLEANDERPASS_SETTINGS`).
    #[arg(long, value_name = "FILE", conflicts_with = "addrs")]
    settings: Option<PathBuf>,
    /// The host that the request names, without a port.
    #[arg(long)]
    host: String,
    /// The path of the request.
    #[arg(long)]
    path: String,
    /// A file with the caller's key, which is not given on the command line because other users of
    /// the machine can read that.
    #[arg(long, value_name = "FILE")]
    key_file: Option<PathBuf>,
    /// The length of the prompt, in tokens.
    #[arg(long, default_value_t = 0)]
    prompt: u64,
    /// The largest number of tokens that may be generated.
    #[arg(long, default_value_t = 0)]
    max_output: u64,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// Run `oleanderpass explain`.
///
/// # Errors
///
/// Fails if no instance answers, or if the one that does can't read the request.
pub(crate) fn run(args: &ExplainArgs) -> Result<()> {
    let addrs = match args.addrs.is_empty() {
        true => addrs_of_settings(args.settings.as_deref())?,
        false => args.addrs.clone(),
    };
    let key = match &args.key_file {
        Some(path) => Some(read_key(path)?),
        None => None,
    };
    let query = Query {
        host: args.host.clone(),
        path: args.path.clone(),
        prompt: Tokens::new(args.prompt),
        max_output: Tokens::new(args.max_output),
        format: if args.json {
            Format::Json
        } else {
            Format::Text
        },
    };
    let mut causes = Vec::new();
    for addr in addrs {
        match ask(addr, &query, key.as_deref()) {
            Ok((200, text)) => {
                print!("{text}");
                return Ok(());
            }
            Ok((status, text)) => bail!("{addr} answered {status}: {}", text.trim()),
            Err(error) => causes.push(format!("{addr}: {error:#}")),
        }
    }
    bail!("no instance answers: {}", causes.join("; "))
}

/// Return the metrics addresses that a settings file names: that of its instance and those of its
/// seeds, which use the same port.
fn addrs_of_settings(path: Option<&Path>) -> Result<Vec<SocketAddr>> {
    let path = settings::path(path, SETTINGS_VARIABLE)?;
    let settings = Settings::read(&path)?;
    let own = settings.metrics_addr;
    let seeds = settings.seeds.iter();
    let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), own.port()));
    Ok(std::iter::once(own).chain(seeds).collect())
}

fn read_key(path: &Path) -> Result<String> {
    let text =
        fs::read_to_string(path).wrap_err_with(|| format!("read the key {}", path.display()))?;
    Ok(text.trim().to_owned())
}

/// Ask one instance. Return the status and the body of its answer.
fn ask(addr: SocketAddr, query: &Query, key: Option<&str>) -> Result<(u16, String)> {
    let agent: Agent = Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build()
        .into();
    let mut call = agent.get(format!("http://{addr}{}?{}", explain::PATH, query.encode()));
    if let Some(key) = key {
        call = call.header("authorization", request::encode_key(key));
    }
    let mut answer = call.call()?;
    let text = answer.body_mut().read_to_string()?;
    Ok((answer.status().as_u16(), text))
}
