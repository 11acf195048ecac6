//! The decisions that a change of the row stands for, for operators.

use crate::cx::Cx;
use crate::{Assignment, CellRow};

/// Records what a write of this process changed.
pub(crate) fn record_changes(previous: &CellRow, next: &CellRow, cx: &mut Cx<'_>) {
    if next.epoch != previous.epoch {
        let addrs: Vec<String> = next.grantors.iter().map(|g| g.addr.to_string()).collect();
        let text = format!("epoch {} is granted by {}", next.epoch, addrs.join(", "));
        cx.record(None, "grantors", text);
    }
    for a in &next.assignments {
        let previous = previous.assignment(a.partition);
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
        return format!("follows {}", previous.owner);
    }
    match previous.standby {
        Some(standby) => format!("standby previous {standby}"),
        None => "standby previous none".to_owned(),
    }
}
