//! Print the status of a running instance.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::WrapErr;
use ureq::Agent;

/// The timeout for the whole call to the operator port.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Run `oleanderpass status`: print the status page of the instance as it is.
pub(crate) fn run(addr: SocketAddr) -> eyre::Result<()> {
    let agent: Agent = Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .build()
        .into();
    let text = agent
        .get(&format!("http://{addr}/status"))
        .call()
        .and_then(|mut resp| resp.body_mut().read_to_string())
        .wrap_err_with(|| format!("read the status from {addr}"))?;
    print!("{text}");
    Ok(())
}
