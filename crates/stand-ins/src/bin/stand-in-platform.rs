//! Runs the platform stand-in as a separate process.

use std::io;
use std::net::{SocketAddr, TcpListener};

use gumdrop::Options;

/// Stand-in for the platform: a table service and an object store in memory.
#[derive(Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(meta = "ADDR", help = "address to listen on", default = "127.0.0.1:0")]
    listen: String,
}

#[actix_rt::main]
async fn main() -> io::Result<()> {
    env_logger::init();
    let args = Args::parse_args_default_or_exit();
    let addr: SocketAddr = args.listen.parse().map_err(io::Error::other)?;
    let listener = TcpListener::bind(addr)?;
    println!("listening {}", listener.local_addr()?);
    let handle = stand_ins::platform::start(listener)?;
    actix_rt::signal::ctrl_c().await?;
    handle.stop(false).await;
    Ok(())
}
