//! The decisions that a change of the row stands for, for operators.

use crate::cx::Cx;
use crate::{Assignment, CellRow};

/// Records what a write of this process changed.
pub(crate) fn record(former: &CellRow, next: &CellRow, cx: &mut Cx<'_>) {
    if next.epoch != former.epoch {
        let addrs: Vec<String> = next.grantors.iter().map(|g| g.addr.to_string()).collect();
        let text = format!("epoch {} is granted by {}", next.epoch, addrs.join(", "));
        cx.record(None, "grantors", text);
    }
    for a in &next.assignments {
        let was = former.assignment(a.partition);
        if was != Some(a) {
            let text = format!("{}: {}", reason(was, a), describe(a));
            cx.record(Some(a.partition), "assignment", text);
        }
    }
}

fn describe(a: &Assignment) -> String {
    let standby = a.standby.map_or_else(|| "none".to_owned(), |s| s.to_string());
    format!("owner {}, standby {standby}, fence {}", a.owner, a.fence)
}

fn reason(was: Option<&Assignment>, a: &Assignment) -> String {
    let Some(was) = was else {
        return "first owner".to_owned();
    };
    if was.owner != a.owner {
        return format!("follows {}", was.owner);
    }
    match was.standby {
        Some(standby) => format!("standby was {standby}"),
        None => "standby was none".to_owned(),
    }
}
