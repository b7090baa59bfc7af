//! Descriptions of log lines in plain English.

use crate::log_line::LogLine;

/// Describes the event of a line in one or more sentences.
#[must_use]
pub fn sentence(line: &LogLine) -> String {
    let text = |field| line.text(field);

    match line.event.as_str() {
        "placed" => format!(
            "The flow from {} to {} was placed on backend server {} of {} in {} (load {}, one of {}); \
             configuration {}, {}.{}{}{}",
            text("caller"),
            text("address"),
            text("backend"),
            text("service"),
            text("zone"),
            text("load"),
            text("candidates"),
            text("version"),
            confirmation(line),
            pace_note(line),
            suspicion_note(line),
            excluded_note(line)
        ),
        "moved" => format!(
            "Backend server {} did not answer the opening packet from {}, nor any other flow since: \
             its retransmission went to {} in {}.{}",
            text("instead_of"),
            text("caller"),
            text("backend"),
            text("zone"),
            suspicion_note(line)
        ),
        "reset" => format!("The flow from {} was ended: {}", text("caller"), reset_reason(line)),
        "dropped" => {
            format!("A packet from {} was dropped: {}", text("caller"), drop_reason(line))
        }
        "held" => format!(
            "A packet from {} is held until the balancer knows more: {}",
            text("caller"),
            drop_reason(line)
        ),
        "suspected" => format!(
            "Backend server {} seemed dead: {} flows missed an answer, the latest for {} ms.",
            text("backend"),
            text("flows"),
            text("waited_ms")
        ),
        "cleared" => format!("Backend server {} answered again.", text("backend")),
        "refuted" => format!(
            "Backend server {} is alive: {} reported that it had answered {} ms before.",
            text("backend"),
            text("source"),
            text("answered_ago_ms")
        ),
        "avoided" => format!(
            "Backend server {} failed {} of its last {} requests, where {} were expected by the others of \
             its service: for {} ms it gets no new flows unless they are much busier (with counts of {} \
             other balancers).",
            text("backend"),
            text("poor"),
            text("requests"),
            text("expected"),
            text("avoided_ms"),
            text("told_by")
        ),
        "avoided_as_told" => format!(
            "Backend server {} gets no new flows for {} ms unless the others are much busier: {} saw it \
             fail more requests than they do.",
            text("backend"),
            text("avoided_ms"),
            text("source")
        ),
        "slowed" => format!(
            "Backend server {} took {} times as long for its answers as the others of its service (by {} \
             answers): each of its requests weighs that much more.",
            text("backend"),
            text("pace"),
            text("answers")
        ),
        "recovered" => format!(
            "Backend server {} answered about as soon as the others again ({} times as long).",
            text("backend"),
            text("pace")
        ),
        "shortage_began" => format!("Service {} became short of slots: {}", text("service"), shortage_facts(line)),
        "admission_shares" => format!("Service {} was short of slots: {}", text("service"), shortage_facts(line)),
        "shortage_ended" if line.is_true("usable") => {
            format!("Service {} had slots to spare again: {}", text("service"), shortage_facts(line))
        }
        "shortage_ended" => format!(
            "The load of service {} was no longer known ({} balancers reported it): all flows were admitted.",
            text("service"),
            text("told_by")
        ),
        "refused" => format!(
            "The flow from {} to {} was not admitted to {}: a share of {} of priority {} was admitted, and \
             its draw was {}.",
            text("caller"),
            text("address"),
            text("service"),
            text("share"),
            text("priority"),
            text("draw")
        ),
        "backend_changed" => format!(
            "Backend server {} of {} is {} since revision {} (told by {}).",
            text("backend"),
            text("service"),
            text("phase"),
            text("revision"),
            text("source")
        ),
        "backend_missing" => format!(
            "The entry of backend server {} is missing after an outage of the store; it may return.",
            text("backend")
        ),
        "birth_missing" => format!(
            "The entry of backend server {} at revision {} does not say when its process was born, \
             as other entries do, and is not used.",
            text("backend"),
            text("revision")
        ),
        "end_corrected" => format!(
            "Backend server {} was taken for gone as of revision {}, and is live: the store listed \
             its entry at revision {}.",
            text("backend"),
            text("revision"),
            text("listed_revision")
        ),
        "removals_concluded" => format!(
            "{} backend servers are taken for removed as of revision {}, though no removal was read \
             ({}, from {}).",
            text("count"),
            text("revision"),
            text("basis"),
            text("source")
        ),
        "routes_in_force" => format!(
            "Configuration {} with {} addresses came into force after {} (told by {}).",
            text("version"),
            text("addresses"),
            text("former_version"),
            text("source")
        ),
        "evacuation" if text("phase") == "begun" => format!(
            "Zone {} is evacuated since revision {} at the latest (told by {}): it gets no new flows.",
            text("zone"),
            text("revision"),
            text("source")
        ),
        "evacuation" => format!(
            "The evacuation of zone {} was withdrawn by revision {} (told by {}).",
            text("zone"),
            text("revision"),
            text("source")
        ),
        "zone_returned" => format!("Zone {} gets new flows again.", text("zone")),
        "isolated" if line.is_true("isolated") => {
            "Neither another zone nor the store was heard: the own zone is used, even if it is evacuated."
                .to_owned()
        }
        "isolated" => "Another zone or the store was heard again.".to_owned(),
        "certainty" if line.is_true("certain") => {
            format!("The balancer's state was confirmed; configuration {}.", text("version"))
        }
        "certainty" => format!(
            "Nothing had confirmed the balancer's state for 5 s: configuration {} may be out of date.",
            text("version")
        ),
        "store_link" if line.is_true("answers") => {
            format!("The store answered again ({}).", text("kind"))
        }
        "store_link" => format!("The store did not answer ({}).", text("kind")),
        "paused" => format!("The process was paused for {} ms.", text("paused_ms")),
        other => format!("{other}: {}", text("text")),
    }
}

/// Returns the note that the backend server is slower than the others of its service; empty if the
/// line has no `pace`, because it is not slower.
fn pace_note(line: &LogLine) -> String {
    if !line.has("pace") {
        return String::new();
    }

    format!(" Its answers took {} times as long as those of the others.", line.text("pace"))
}

/// Returns the note that some backend servers could not be chosen although they take new flows;
/// empty if all of them could.
fn excluded_note(line: &LogLine) -> String {
    if !line.has("left_out") {
        return String::new();
    }

    format!(
        " {} others take new flows, but not in this region, or not while their zone is evacuated or they are cold.",
        line.text("left_out")
    )
}

/// Describes the inputs of admission control.
fn shortage_facts(line: &LogLine) -> String {
    let text = |field| line.text(field);

    format!(
        "{} requests in flight at {} slots, {} answers per second, aimed at {} (reports of {} \
         balancers, {} ms old on average); by priority: {}.",
        text("in_flight"),
        text("slots"),
        text("answers"),
        text("target"),
        text("told_by"),
        text("reports_age_ms"),
        text("classes")
    )
}

fn suspicion_note(line: &LogLine) -> &'static str {
    match line.text("doubt").as_str() {
        "silent" => " It seemed dead, but no other was better.",
        "missing" => " Its entry was missing, but no other was better.",
        _ => "",
    }
}

fn reset_reason(line: &LogLine) -> String {
    match line.text("reason").as_str() {
        "no_route" => "no route leads from its address.".to_owned(),
        "no_backend" => "no backend server of the service takes flows.".to_owned(),
        "no_backend_in_region" => {
            "its address leads to other regions than those of the backend servers that take flows."
                .to_owned()
        }
        "zones_evacuated" => {
            "all backend servers that take flows are in zones that are evacuated.".to_owned()
        }
        "backends_cold" => "all backend servers that could take it have just started and can take \
             no more at the moment; another attempt may meet a balancer that has room."
            .to_owned(),
        "service_overloaded" => {
            "its service was short of slots, and it was not among the flows that were admitted."
                .to_owned()
        }
        "backend_gone" => format!("its backend server {} has ended.", line.text("backend")),
        "backend_silent" => format!(
            "its backend server {} answered neither it nor any other flow.",
            line.text("backend")
        ),
        other => format!("{other}."),
    }
}

/// Describes when the store last confirmed the state of the balancer.
fn confirmation(line: &LogLine) -> String {
    match line.text("knowledge_age_ms").as_str() {
        "" => "not confirmed by the store yet".to_owned(),
        age => format!("confirmed {age} ms before"),
    }
}

fn drop_reason(line: &LogLine) -> String {
    match line.text("reason").as_str() {
        "not_ready" => "the balancer had just started and knew nothing yet.".to_owned(),
        "no_route" => {
            "no route is known from its address, but the configuration may be out of date."
                .to_owned()
        }
        "no_other" => {
            "it is a retransmission of an opening packet that went to a backend server that \
             gets no new flows now, and there is no other."
                .to_owned()
        }
        "already_told" => "its caller was told a moment ago that the flow is over.".to_owned(),
        "unknown_token" => {
            format!(
                "its token {} names no backend server that is known up to revision {}, {}.",
                line.text("token"),
                line.text("known_until"),
                confirmation(line)
            )
        }
        other => format!("{other}."),
    }
}
