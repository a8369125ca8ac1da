//! Helpers of all commands: arguments, addresses, input files, output and errors.

use std::io::Write;
use std::{env, fs, future, io, net};

use eyre::WrapErr;
use gumdrop::Options;

use crate::cmd::exit;
use crate::transport::platform;

/// Environment variable with the address of the platform's service.
const PLATFORM_ENV: &str = "FILBERTFLOW_PLATFORM";

/// Environment variable with the admin address of a node.
const ADMIN_ENV: &str = "FILBERTFLOW_ADMIN";

/// Addresses that a command connects to.
#[derive(Debug, Clone, Copy, Default)]
pub struct Endpoints {
    platform: Option<net::SocketAddr>,
    admin: Option<net::SocketAddr>,
}

impl Endpoints {
    /// Takes each address from its option, or else from the environment.
    ///
    /// # Errors
    ///
    /// Returns a bad-input error if an environment variable is not a valid address.
    pub fn new(
        platform: Option<net::SocketAddr>,
        admin: Option<net::SocketAddr>,
    ) -> eyre::Result<Self> {
        Ok(Self {
            platform: or_env(platform, PLATFORM_ENV)?,
            admin: or_env(admin, ADMIN_ENV)?,
        })
    }

    /// Returns a client of the platform's service.
    ///
    /// # Errors
    ///
    /// Returns a bad-input error if its address is not set.
    pub fn platform_client(&self) -> eyre::Result<platform::Client> {
        let addr = required(self.platform, "--platform", PLATFORM_ENV)?;
        Ok(platform::Client::new(addr))
    }

    /// Returns the admin address of a node.
    ///
    /// # Errors
    ///
    /// Returns a bad-input error if it is not set.
    pub fn admin_addr(&self) -> eyre::Result<net::SocketAddr> {
        required(self.admin, "--admin", ADMIN_ENV)
    }
}

fn or_env(given: Option<net::SocketAddr>, variable: &str) -> eyre::Result<Option<net::SocketAddr>> {
    let Some(value) = given.map_or_else(|| env::var(variable).ok(), |_| None) else {
        return Ok(given);
    };
    let addr = value
        .parse()
        .map_err(|_| bad_input(format!("{variable}: expected IP:PORT, found {value:?}")))?;
    Ok(Some(addr))
}

fn required(
    addr: Option<net::SocketAddr>,
    option: &str,
    variable: &str,
) -> eyre::Result<net::SocketAddr> {
    addr.ok_or_else(|| bad_input(format!("{option} IP:PORT or {variable} is required")))
}

/// Parses the arguments of a command. Returns `None` if help was requested and has been printed.
///
/// # Errors
///
/// Returns a bad-input error with the usage text if the arguments are invalid.
pub fn parse<T: Options>(args: &[String], usage: &str) -> eyre::Result<Option<T>> {
    let parsed = T::parse_args_default(args).map_err(|e| bad_input(format!("{e}\n\n{usage}")))?;
    if parsed.help_requested() {
        print(&format!("{usage}\n{}\n", T::usage()))?;
        return Ok(None);
    }
    Ok(Some(parsed))
}

/// Returns the only positional argument.
///
/// # Errors
///
/// Returns a bad-input error unless there is exactly one.
pub fn single_argument<'a>(free: &'a [String], what: &str) -> eyre::Result<&'a str> {
    match free {
        [one] => Ok(one),
        _ => Err(bad_input(format!(
            "expected one {what}, found {}",
            free.len()
        ))),
    }
}

/// Reads an input file named on the command line.
///
/// # Errors
///
/// Returns a bad-input error if the file can't be read.
pub fn read_file(file: &str) -> eyre::Result<String> {
    fs::read_to_string(file).map_err(|e| bad_input(format!("{file}: {e}")))
}

/// Writes to the standard output. A broken pipe is ignored, because the reader needs no more output.
///
/// # Errors
///
/// Returns any other write error.
pub fn print(text: &str) -> eyre::Result<()> {
    match io::stdout().write_all(text.as_bytes()) {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => Err(e.into()),
        _ => Ok(()),
    }
}

/// Runs a future to completion on a new runtime.
///
/// # Errors
///
/// Returns the error of the future, or an error if the runtime can't start.
pub fn block_on<T>(f: impl future::Future<Output = eyre::Result<T>>) -> eyre::Result<T> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("can't start the runtime")?
        .block_on(f)
}

/// Creates an error for invalid input.
pub fn bad_input(message: String) -> eyre::Report {
    exit::CommandError::new(exit::ExitCode::BadInput, message).into()
}

/// Creates an error for a platform's service or node that is unavailable.
pub fn unavailable(what: &str, e: &crate::transport::error::Error) -> eyre::Report {
    exit::CommandError::new(exit::ExitCode::Unavailable, format!("{what}: {e}")).into()
}
