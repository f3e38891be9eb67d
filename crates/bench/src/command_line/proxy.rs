//! `ladderstage-bench proxy`: runs the fault-injecting proxy.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Arc;

use pico_args::Arguments;

use super::{CommandError, print_help, reject_remaining, value};
use crate::http_server::{Handler, Request, Responder, serve};
use crate::proxy::Proxy;

const HELP: &str = "\
Runs a fault-injecting TCP proxy until it is ended; prints `listening=ip:port control=ip:port` when it is ready.

USAGE: ladderstage-bench proxy --target IP:PORT [--listen IP:PORT] [--control IP:PORT]

Control by HTTP:
  POST /faults    JSON with optional fields: delay_ms, refuse, freeze, swallow_to_target, swallow_from_target,
                  cut_after_bytes; faults left out end
  POST /cut       resets all open connections
  POST /reset-next/N   resets the next N connections on their first byte
";

/// Runs a proxy until the process is ended.
pub(super) async fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    if arguments.contains("--help") {
        print_help(HELP);
        return Ok(());
    }
    let target: SocketAddr = arguments.value_from_str("--target")?;
    let listen = value(&mut arguments, "--listen", crate::stand_in::loopback())?;
    let control = value(&mut arguments, "--control", crate::stand_in::loopback())?;
    reject_remaining(arguments)?;
    let proxy = Proxy::start_at(listen, target).await?;
    let address = proxy.address;
    let control = serve(control, Arc::new(Control { proxy })).await?;
    println!("listening={address} control={}", control.address);
    io::stdout().flush()?;
    std::future::pending().await
}

struct Control {
    proxy: Proxy,
}

impl Handler for Control {
    async fn handle(&self, request: Request, responder: &mut Responder) -> io::Result<()> {
        let path = request.path.clone();
        let resets = path.strip_prefix("/reset-next/").map(str::parse);
        match (request.method.as_str(), path.as_str(), resets) {
            ("POST", "/faults", _) => match request.json() {
                Ok(faults) => self.proxy.set(faults),
                Err(error) => return responder.reject(400, &error.to_string()).await,
            },
            ("POST", "/cut", _) => self.proxy.cut(),
            ("POST", _, Some(Ok(connections))) => self.proxy.reset_next(connections),
            _ => return responder.reject(404, "unknown path").await,
        }
        responder.send(200, &[], b"").await
    }
}
