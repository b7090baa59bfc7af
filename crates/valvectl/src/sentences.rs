//! Results in plain English.

use std::fmt::Write;

use valvestage_policy::operations::Plan;
use valvestage_wire::operators::{ConfirmResult, Explanation, StatusReport};
use valvestage_wire::status::BalancerStatus;

/// Appends a formatted line to a string. The result is ignored because writing to a string cannot
/// fail.
macro_rules! add_line {
    ($text:expr, $($words:tt)*) => { let _ = writeln!($text, $($words)*); };
}

/// Describes an accepted change.
pub fn confirmed(result: &ConfirmResult) -> String {
    format!(
        "Change {} is accepted as version {}.\nSee `valvectl status` for who has it.\n",
        result.change_id, result.version
    )
}

/// Describes the steps, effects and dangers of a plan, and how to confirm it.
pub fn plan(plan: &Plan) -> String {
    let mut text = String::new();

    add_line!(text, "Plan {} on version {}:", plan.id, plan.base_version);
    for step in &plan.steps {
        add_line!(text, "  {step}");
    }
    for effect in &plan.effects {
        add_line!(
            text,
            "  {}: {} slots now, {} afterwards, {} in use or waited for; {}% of new flows go elsewhere.",
            effect.service,
            effect.slots_before,
            effect.slots_after,
            effect.slots_busy,
            effect.new_flows_moved_percent
        );
    }
    for danger in &plan.dangers {
        add_line!(text, "  Mind: {danger}");
    }

    match &plan.refusal {
        Some(refusal) => {
            add_line!(text, "It cannot be confirmed. {}", refusal.problem);
            add_line!(text, "{}", refusal.remedy);
        }
        None => {
            add_line!(
                text,
                "Nothing has happened yet. To carry it out: valvectl confirm {}",
                plan.id
            );
        }
    }
    text
}

/// Describes the status of a deployment.
pub fn status(report: &StatusReport) -> String {
    let mut text = String::new();

    match report.accepted_version {
        Some(version) => add_version(&mut text, version),
        None => {
            add_line!(text, "The platform does not answer; balancers go on with what they have.");
        }
    }
    if report.behind.is_empty() {
        add_line!(text, "Every balancer that answers has the newest version.");
    } else {
        add_line!(text, "Not there yet: balancers {:?}.", report.behind);
    }

    for balancer in &report.balancers {
        match &balancer.status {
            Some(status) => add_balancer(&mut text, status),
            None => {
                add_line!(text, "Balancer at {} does not answer.", balancer.address);
            }
        }
    }
    add_services(&mut text, report);
    text
}

fn add_version(text: &mut String, version: u64) {
    add_line!(text, "Version {version} is accepted.");
}

fn add_balancer(text: &mut String, status: &BalancerStatus) {
    let ready = if status.ready { "ready" } else { "not ready" };
    let lease = if status.has_lease { "with a lease" } else { "without a lease" };
    let live = status.peers.iter().filter(|peer| peer.alive).count();

    add_line!(
        text,
        "Balancer {} in {}: {ready}, {lease}, version {}, {} flows, hears {live} of {} others; platform heard {} ms ago.",
        status.id,
        status.zone,
        status.configuration,
        status.flows,
        status.peers.len(),
        status.configuration_age_ms
    );
}

/// Appends the services, each with the counts of its owner, which alone counts all its requests.
fn add_services(text: &mut String, report: &StatusReport) {
    let statuses = report.balancers.iter().filter_map(|balancer| balancer.status.as_ref());

    for (status, service) in statuses.flat_map(|s| s.services.iter().map(move |v| (s, v))) {
        if service.owner == Some(status.id) {
            add_line!(
                text,
                "Service {}: owned by balancer {}, {} of {} slots in use, {} requests waiting.",
                service.name,
                status.id,
                service.busy_slots,
                service.usable_slots,
                service.waiting
            );
        }
    }
}

/// Describes the decisions about a subject.
pub fn explanation(explanation: &Explanation) -> String {
    let mut text = String::new();

    if explanation.sentences.is_empty() {
        add_line!(text, "No balancer that answers remembers anything about it.");
    }
    for decision in &explanation.sentences {
        add_line!(text, "{} ms: {}", decision.record.at_ms, decision.sentence);
    }
    for address in &explanation.silent {
        add_line!(text, "The balancer at {address} did not answer; its part may be missing.");
    }
    text
}
