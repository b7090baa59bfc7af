//! Selection of the log lines that answer a query.

use std::collections::BTreeSet;

use crate::log_line::LogLine;
use crate::log_query::LogQuery;

/// Period before the first line of a flow from which changes of the balancer's state are included,
/// in milliseconds. It covers the time for which the entry of a dead backend server remains, about
/// 2.3 s, and outages of a few seconds.
const LOOK_BACK_MS: u64 = 10_000;

/// Events that change a balancer's view of the deployment as a whole.
const VIEW_EVENTS: [&str; 6] =
    ["certainty", "routes_in_force", "store_link", "paused", "zone_returned", "isolated"];

/// Events by which a balancer judges a backend server after the failure of some of its flows.
const HEALTH_EVENTS: [&str; 5] = ["suspected", "refuted", "avoided", "avoided_as_told", "slowed"];

/// Events by which a balancer begins and ends to refuse flows of a service.
const SHORTAGE_EVENTS: [&str; 2] = ["shortage_began", "shortage_ended"];

/// Event that states the shares of flows that a balancer admits, written once a second.
const SHARES_EVENT: &str = "admission_shares";

/// Period before the first line of a flow from which [`SHARES_EVENT`] is included, in milliseconds.
/// It covers one line.
const SHARES_LOOK_BACK_MS: u64 = 1_200;

/// Period after the last line of a flow in which events of [`HEALTH_EVENTS`] are included, in
/// milliseconds. Later ones are caused by other flows.
const LOOK_AHEAD_MS: u64 = 10_000;

/// Returns the lines that answer a query, ordered by time; empty if the logs contain none.
#[must_use]
pub fn select_lines(lines: Vec<LogLine>, query: &LogQuery) -> Vec<LogLine> {
    let mut selected = match query {
        LogQuery::Flow(caller) => select_flow_lines(lines, &caller.to_string()),
        LogQuery::Backend(id) => select(lines, |line| is_about_backend(line, id)),
        LogQuery::Version(version) => {
            select(lines, |line| line.number("version") == Some(*version) && is_view_event(line))
        }
    };

    selected.sort_by_key(|line| line.time_ms);
    selected
}

/// Returns the lines of a flow, and those that explain the decisions about it: changes of the view
/// of its balancers, and events of its backend servers.
fn select_flow_lines(lines: Vec<LogLine>, caller: &str) -> Vec<LogLine> {
    let own: Vec<&LogLine> = lines.iter().filter(|line| line.is("caller", caller)).collect();
    let Some(first) = own.iter().map(|line| line.time_ms).min() else { return Vec::new() };
    let last = own.iter().map(|line| line.time_ms).max().unwrap_or(first);
    let vms: BTreeSet<String> = own.iter().map(|line| line.vm.clone()).collect();
    let backends: BTreeSet<String> = own.iter().flat_map(|line| backend_ids(line)).collect();

    let services: BTreeSet<String> = own.iter().map(|line| line.text("service")).collect();
    let shares_from = first.saturating_sub(SHARES_LOOK_BACK_MS);

    let span = first.saturating_sub(LOOK_BACK_MS)..=last;
    let after = last..=last.saturating_add(LOOK_AHEAD_MS);
    select(lines, |line| {
        let is_own = line.is("caller", caller);
        let is_near = span.contains(&line.time_ms) && vms.contains(&line.vm);
        let is_cause = is_view_event(line)
            || line.text("caller").is_empty()
                && backends.iter().any(|id| is_about_backend(line, id));
        let is_health_event = HEALTH_EVENTS.contains(&line.event.as_str())
            && after.contains(&line.time_ms)
            && backends.iter().any(|id| line.is("backend", id));
        // An evacuation is in force until it is withdrawn, however long before the flow it began.
        let is_evacuation =
            line.event == "evacuation" && line.time_ms <= last && vms.contains(&line.vm);
        let is_shortage = SHORTAGE_EVENTS.contains(&line.event.as_str())
            || line.event == SHARES_EVENT && line.time_ms >= shares_from;
        let is_of_service = is_shortage && services.contains(&line.text("service"));
        is_own || is_near && (is_cause || is_of_service) || is_health_event || is_evacuation
    })
}

fn select(lines: Vec<LogLine>, matches: impl Fn(&LogLine) -> bool) -> Vec<LogLine> {
    lines.into_iter().filter(|line| matches(line)).collect()
}

fn is_view_event(line: &LogLine) -> bool {
    VIEW_EVENTS.contains(&line.event.as_str())
}

fn is_about_backend(line: &LogLine, id: &str) -> bool {
    line.is("backend", id) || line.is("instead_of", id)
}

fn backend_ids(line: &LogLine) -> impl Iterator<Item = String> {
    let named = ["backend", "instead_of"].map(|field| line.text(field));

    named.into_iter().filter(|id| !id.is_empty())
}
