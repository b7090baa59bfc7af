//! Stand-in for the platform's object API.

use std::io;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bpaf::Bpaf;
use valvestage_standins::layout::Layout;
use valvestage_standins::platform::{PlatformStandin, start};
use valvestage_standins::signals::stop_flag;

/// Serves a stand-in for the platform's object API until it is stopped by a signal
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Folder with the files of the deployment
    #[bpaf(long, argument("FOLDER"))]
    folder: PathBuf,
}

#[actix_web::main]
async fn main() -> io::Result<()> {
    let arguments = arguments().run();
    let layout = Layout::read(&arguments.folder)?;
    let stop = stop_flag()?;

    let (_, server) = start(TcpListener::bind(layout.platform)?, PlatformStandin::default())?;
    actix_rt::spawn(server);
    while !stop.load(Ordering::Relaxed) {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}
