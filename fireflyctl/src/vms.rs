//! `vms`: the platform's list of VMs, which may be out of date.

use crate::console::Console;
use crate::failure::{Failure, Result};
use crate::table::Table;
use fireflyd::platform::{PlatformClient, VmState};

/// Prints the list.
pub(crate) async fn vms(platform: &PlatformClient, console: &mut Console<'_>) -> Result<()> {
    let vms = platform
        .vms()
        .await
        .map_err(|e| Failure::Unavailable(format!("the VM list: {e}")))?;
    let mut table = Table::new(&["name", "address", "data centre", "role", "state"]);
    for vm in vms {
        let state = state_name(vm.state);
        table.row([&*vm.name, &*vm.address, &*vm.data_centre, &*vm.role, state]);
    }
    console.print(table)
}

const fn state_name(state: VmState) -> &'static str {
    match state {
        VmState::Live => "live",
        VmState::Leaving => "leaving",
        VmState::Unknown => "unknown",
    }
}
