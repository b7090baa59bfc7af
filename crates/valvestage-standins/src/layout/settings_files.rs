//! Settings files of all processes of a deployment.

use std::fmt::Write;
use std::fs;
use std::io;
use std::path::Path;

use valvestage_core::settings::{BackendSettings, DeploymentSettings, ServiceSettings};

use super::addresses::AddressPool;
use super::deployments::{DeploymentPlan, ServicePlan};
use super::layout_file::{BalancerLayout, Layout};
use crate::seeded_rng::SeededRng;

/// Allocates the addresses of a deployment, and writes them with its secrets and settings into a
/// folder. `extra` is put at the head of each balancer's settings.
pub fn write_layout(
    plan: &DeploymentPlan,
    folder: &Path,
    seed: u64,
    extra: &str,
) -> io::Result<Layout> {
    fs::create_dir_all(folder)?;
    let mut pool = AddressPool::new();
    let layout = allocate_layout(plan, &mut pool)?;

    // Secrets derived from the seed are predictable, which is acceptable on loopback addresses.
    let mut rng = SeededRng::new(seed);
    for name in ["peer.key", "admin.token", "operator.token"] {
        fs::write(folder.join(name), format!("{:016x}{:016x}\n", rng.next_u64(), rng.next_u64()))?;
    }

    for balancer in &layout.balancers {
        let text = format!("{extra}\n{}", balancer_settings(balancer, &layout, folder));
        fs::write(folder.join(format!("balancer-{}.toml", balancer.id)), text)?;
    }
    fs::write(folder.join("operator.toml"), operator_settings(&layout, folder))?;

    let deployment = allocate_deployment(plan, &mut pool)?;
    let text = toml::to_string_pretty(&deployment).map_err(io::Error::other)?;
    fs::write(folder.join("deployment.toml"), text)?;

    layout.write(folder)?;
    Ok(layout)
}

fn allocate_layout(plan: &DeploymentPlan, pool: &mut AddressPool) -> io::Result<Layout> {
    let zones = plan.zones.iter().cycle();
    let balancers = (1u32..).zip(zones).take(plan.balancers);
    let balancers = balancers.map(|(id, zone)| {
        Ok(BalancerLayout {
            id,
            zone: (*zone).to_owned(),
            data: pool.allocate_udp()?,
            peer: pool.allocate_tcp()?,
            admin: pool.allocate_tcp()?,
        })
    });

    let balancers = balancers.collect::<io::Result<Vec<_>>>()?;
    Ok(Layout {
        fabric_callers: pool.allocate_udp()?,
        fabric_balancers: pool.allocate_udp()?,
        platform: pool.allocate_tcp()?,
        operator: pool.allocate_tcp()?,
        balancers,
    })
}

fn allocate_deployment(
    plan: &DeploymentPlan,
    pool: &mut AddressPool,
) -> io::Result<DeploymentSettings> {
    let services = (1u16..).zip(plan.services).map(|(id, service)| {
        Ok(ServiceSettings {
            id,
            name: service.name.to_owned(),
            address: pool.allocate_udp()?,
            slots: service.slots,
            connections: service.connections,
            backends: allocate_backends(plan, service, pool)?,
        })
    });

    let services = services.collect::<io::Result<Vec<_>>>()?;
    Ok(DeploymentSettings { name: plan.name.to_owned(), services })
}

fn allocate_backends(
    plan: &DeploymentPlan,
    service: &ServicePlan,
    pool: &mut AddressPool,
) -> io::Result<Vec<BackendSettings>> {
    let zones = plan.zones.iter().cycle();

    (1..=service.backends)
        .zip(zones)
        .map(|(number, zone)| {
            Ok(BackendSettings {
                name: format!("{}-{number:02}", service.name),
                zone: (*zone).to_owned(),
                address: pool.allocate_udp()?,
            })
        })
        .collect()
}

fn balancer_settings(balancer: &BalancerLayout, layout: &Layout, folder: &Path) -> String {
    let folder = folder.display();
    let mut text = format!(
        "id = {}\nzone = \"{}\"\ndata_address = \"{}\"\npeer_address = \"{}\"\n\
         admin_address = \"{}\"\nfabric_addresses = [\"{}\"]\nplatform_address = \"{}\"\n\
         peer_key_file = \"{folder}/peer.key\"\nadmin_token_file = \"{folder}/admin.token\"\n",
        balancer.id,
        balancer.zone,
        balancer.data,
        balancer.peer,
        balancer.admin,
        layout.fabric_balancers,
        layout.platform,
    );

    for peer in &layout.balancers {
        let _ = write!(
            text,
            "\n[[peers]]\nid = {}\nzone = \"{}\"\ndata_address = \"{}\"\npeer_address = \"{}\"\n",
            peer.id, peer.zone, peer.data, peer.peer
        );
    }
    text
}

fn operator_settings(layout: &Layout, folder: &Path) -> String {
    let folder = folder.display();
    let admin_addresses: Vec<_> =
        layout.balancers.iter().map(|b| format!("\"{}\"", b.admin)).collect();

    format!(
        "listen_address = \"{}\"\noperator_token_file = \"{folder}/operator.token\"\n\
         platform_address = \"{}\"\nadmin_token_file = \"{folder}/admin.token\"\n\
         balancer_admin_addresses = [{}]\n",
        layout.operator,
        layout.platform,
        admin_addresses.join(", ")
    )
}
