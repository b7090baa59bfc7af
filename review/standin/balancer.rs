//! Processes of `valvestage-entry`, started with the command of the deploy file.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use crate::site::{REGION, Site, ZONES};

/// One balancer process; killed when dropped.
pub struct Balancer {
    child: Child,
}

impl Balancer {
    /// Starts balancer `number` (from 1 on) with the settings that the template `deploy/entry.toml`
    /// gives for a small deployment. `seeds` are the numbers of the balancers that they name.
    pub fn start(
        site: &Site,
        number: u8,
        zone: &str,
        folder: &Path,
        seeds: [u8; 3],
        is_first_start: bool,
    ) -> Result<Self, String> {
        let settings = folder.join(format!("balancer-{number}.toml"));
        let text = settings_text(site, number, zone, seeds, is_first_start);
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = File::create(folder.join(format!("balancer-{number}.log")));
        let log = log.map_err(|error| error.to_string())?;
        let program = PathBuf::from("target/release/valvestage-entry");

        let child = Command::new(&program)
            .env_clear()
            .env("VALVESTAGE_CONFIG", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|error| error.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|error| format!("{}: {error}", program.display()))?;
        Ok(Self { child })
    }

    /// Sends SIGTERM, as the platform does.
    pub fn terminate(&self) {
        let command = format!("kill -TERM {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn settings_text(
    site: &Site,
    number: u8,
    zone: &str,
    seeds: [u8; 3],
    is_first_start: bool,
) -> String {
    let ip = site.balancer(number);
    let seeds: Vec<String> = seeds
        .iter()
        .map(|seed| format!("\"{}:{}\"", site.balancer(*seed), site.control_port()))
        .collect();
    let zones: Vec<String> = ZONES.iter().map(|zone| format!("\"{zone}\" = \"{REGION}\"")).collect();

    format!(
        "name = \"front-{zone}-{number}\"\nzone = \"{zone}\"\n\
         data_address = \"{ip}:{}\"\nready_address = \"{ip}:{}\"\ncontrol_address = \"{ip}:{}\"\n\
         peer_port = {}\nlink_mbps = 1000.0\nfirst_start = {is_first_start}\nheartbeat_ms = 770\n\
         seeds = [{}]\nstore_address = \"{}:{}\"\nstop_within_s = 6\npace_sharing = true\n\n\
         [zone_regions]\n{}\n\n[admission]\n",
        site.data_port,
        site.ready_port(),
        site.control_port(),
        site.peer_port(),
        seeds.join(", "),
        site.store(),
        site.store_port(),
        zones.join("\n"),
    )
}
