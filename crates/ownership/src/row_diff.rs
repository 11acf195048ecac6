//! Records the decisions behind a change of the row, for operators.

use crate::cx::Cx;
use crate::{Assignment, CellRow};

/// Records the differences between two versions of the row, the newer of which this process wrote.
pub(crate) fn record_changes(previous_row: &CellRow, next: &CellRow, cx: &mut Cx<'_>) {
    if next.epoch != previous_row.epoch {
        let addrs: Vec<String> = next.grantors.iter().map(|g| g.addr.to_string()).collect();
        let text = format!("epoch {} has the grantors {}", next.epoch, addrs.join(", "));
        cx.record(None, "grantors", text);
    }
    for a in &next.assignments {
        let previous = previous_row.assignment(a.partition);
        if previous != Some(a) {
            let text = format!("{}: {}", reason(previous, a), describe(a));
            cx.record(Some(a.partition), "assignment", text);
        }
    }
}

fn describe(a: &Assignment) -> String {
    let standby = a.standby.map_or_else(|| "none".to_owned(), |s| s.to_string());
    format!("owner {}, standby {standby}, fence {}", a.owner, a.fence)
}

fn reason(previous: Option<&Assignment>, a: &Assignment) -> String {
    let Some(previous) = previous else {
        return "first owner".to_owned();
    };
    if previous.owner != a.owner {
        return format!("replaces owner {}", previous.owner);
    }
    match previous.standby {
        Some(standby) => format!("standby changed from {standby}"),
        None => "standby changed from none".to_owned(),
    }
}
