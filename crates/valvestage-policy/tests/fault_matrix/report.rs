//! Tables of the results, and the page that contains them.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::ablations::{Ablation, AblationRow};
use crate::cells::{CellKind, CellResult};
use crate::faults::Fault;
use crate::oracle::Promise;
use crate::scenario::run_traced;
use crate::steps::Step;

/// Describes a failed cell: what is needed to run it again, its violations and its event log.
pub fn describe_failure(result: &CellResult) -> String {
    let cell = result.cell;
    let mut text = format!(
        "FAILED {:?}: {} / {} at {}, seed {}, {} events\n",
        cell.kind,
        cell.first.label(),
        cell.second.label(),
        cell.step.label(),
        cell.seed,
        result.events
    );

    for violation in &result.violations {
        let _ = writeln!(text, "  {}: {}", violation.promise.label(), violation.description);
    }
    // Runs the cell again to add the events of the requests concerned to its log.
    let traced = result.violations.iter().filter_map(|violation| violation.request).collect();
    for line in &run_traced(cell, Ablation::None, traced).event_log {
        let _ = writeln!(text, "  {line}");
    }
    text
}

/// Renders for each promise how many cells check it and how many of them fail.
pub fn promise_table(results: &[CellResult]) -> String {
    let mut text =
        String::from("| promise | cells that test it | failed | checks |\n|---|---|---|---|\n");

    for promise in Promise::ALL {
        let testing = results.iter().filter(|r| r.checked.iter().any(|(p, _)| *p == promise));
        let checks: u64 = results
            .iter()
            .flat_map(|r| &r.checked)
            .filter(|(p, _)| *p == promise)
            .map(|(_, n)| n)
            .sum();
        let failed = results.iter().filter(|r| r.violations.iter().any(|v| v.promise == promise));
        let _ = writeln!(
            text,
            "| {} | {} | {} | {checks} |",
            promise.label(),
            testing.count(),
            failed.count()
        );
    }
    text
}

/// Renders which promises break when each mechanism is disabled.
pub fn ablation_table(rows: &[AblationRow]) -> String {
    let mut text =
        String::from("| without | red cells | promises broken | a red cell |\n|---|---|---|---|\n");

    for row in rows {
        let mut promises: BTreeMap<Promise, usize> = BTreeMap::new();
        for violation in row.failed.iter().flat_map(|result| &result.violations) {
            *promises.entry(violation.promise).or_insert(0) += 1;
        }
        let broken: Vec<_> = promises
            .iter()
            .map(|(promise, count)| format!("{} ({count})", promise.label()))
            .collect();
        let example = row.failed.first().map_or_else(String::new, |result| {
            let description =
                result.violations.first().map_or("", |violation| violation.description.as_str());
            format!("{}: {description}", cell_name(result))
        });
        let _ = writeln!(
            text,
            "| {} | {} of {} | {} | {example} |",
            row.ablation.label(),
            row.failed.len(),
            row.cell_count,
            broken.join("; ")
        );
    }
    text
}

fn cell_name(result: &CellResult) -> String {
    let cell = result.cell;
    let faults = match cell.kind {
        CellKind::Single => cell.first.label().to_owned(),
        CellKind::Pair => format!("{} + {}", cell.first.label(), cell.second.label()),
        CellKind::Twice => format!("{} twice", cell.first.label()),
    };

    format!("{faults} × {} (seed {})", cell.step.label(), cell.seed)
}

/// Renders the results of single faults by fault and step: proved, failed, or not run because the
/// step was not reached.
fn single_grid(results: &[CellResult]) -> String {
    let mut text = String::from("| fault |");
    for step in Step::ALL {
        let _ = write!(text, " {} |", step.label());
    }
    text.push_str("\n|---|");
    text.push_str(&"---|".repeat(Step::ALL.len()));
    text.push('\n');

    for fault in Fault::ALL {
        let _ = write!(text, "| {} |", fault.label());
        for step in Step::ALL {
            let of_cell = results.iter().filter(|r| {
                r.cell.kind == CellKind::Single && r.cell.first == fault && r.cell.step == step
            });
            let _ = write!(text, " {} |", grid_mark(of_cell));
        }
        text.push('\n');
    }
    text
}

fn grid_mark<'a>(results: impl Iterator<Item = &'a CellResult>) -> &'static str {
    let results: Vec<_> = results.collect();

    if results.iter().any(|result| !result.violations.is_empty()) {
        "**failed**"
    } else if results.iter().all(|result| result.is_reached) {
        "proved"
    } else {
        "not run"
    }
}

/// Renders how many flows each fault broke. Flows may break when what holds them fails without
/// notice, so these are figures and no violations.
fn broken_flows_table(results: &[CellResult]) -> String {
    let mut text = String::from(
        "| fault (singles) | flows that echo the token | flows that don't |\n|---|---|---|\n",
    );

    for fault in Fault::ALL {
        let of_fault =
            results.iter().filter(|r| r.cell.kind == CellKind::Single && r.cell.first == fault);
        let sum = of_fault.fold([0; 4], |sum, result| {
            let (echoing, not_echoing) = (result.echoing, result.not_echoing);
            [sum[0] + echoing.0, sum[1] + echoing.1, sum[2] + not_echoing.0, sum[3] + not_echoing.1]
        });
        if sum[1] + sum[3] > 0 {
            let _ = writeln!(
                text,
                "| {} | {} of {} broken | {} of {} broken |",
                fault.label(),
                sum[1],
                sum[0],
                sum[3],
                sum[2]
            );
        }
    }
    text
}

fn cell_counts(results: &[CellResult], kind: CellKind) -> String {
    let of_kind: Vec<_> = results.iter().filter(|result| result.cell.kind == kind).collect();
    let failed = of_kind.iter().filter(|result| !result.violations.is_empty()).count();
    let not_run = of_kind.iter().filter(|result| !result.is_reached).count();
    let proved = of_kind.len() - failed - not_run;

    format!("{} cells: {proved} proved, {failed} failed, {not_run} not run", of_kind.len())
}

/// Renders the text of docs/FAULT-MATRIX.md.
pub fn page(results: &[CellResult], ablations: &[AblationRow]) -> String {
    let failed: Vec<_> = results.iter().filter(|result| !result.violations.is_empty()).collect();
    let mut text = format!(
        "# Fault matrix

Made by `UPDATE_DOCS=1 cargo test -p valvestage-policy --test fault_matrix`; the same command
without the variable fails if this page is not current. Each cell runs the policies of five
balancers over three availability zones for 34 simulated seconds, with a fault that strikes when its
step is reached, and an oracle for each promise. Everything follows from the seed.

- Singles, two seeds each: {}.
- Pairs, at three steps: {}.
- The same fault twice, at three steps: {}.

A cell that is excused from a promise does not test it: flows may break when what holds them goes
without notice (the figures are below), a request may end in doubt or refused under a fault, and a
balancer that is cut off cannot know of a change. The last hop to a backend server does not double
packets: nothing that a balancer could do would help there.

## Cells by promise

{}
## Singles

{}
## Without one mechanism

Singles, repeats and one pair, run again with one mechanism taken away.

{}
## Flows broken by unplanned losses

{}
",
        cell_counts(results, CellKind::Single),
        cell_counts(results, CellKind::Pair),
        cell_counts(results, CellKind::Twice),
        promise_table(results),
        single_grid(results),
        ablation_table(ablations),
        broken_flows_table(results),
    );

    if !failed.is_empty() {
        text.push_str("## Failed\n\n");
        for result in failed {
            let _ =
                writeln!(text, "- {}: {:?}", cell_name(result), result.violations[0].description);
        }
    }
    text
}
