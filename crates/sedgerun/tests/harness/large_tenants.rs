//! Tenants whose settings take some 4 KB, which are changed again and again, and the memory of the heads.

use super::{Harness, Said, call};
use serde_json::{Value, json};

pub const TENANTS: usize = 20;
const EXPORTS: usize = 20;

/// Memory that a head has resident, in KiB.
pub fn resident_kib(harness: &Harness, head: usize) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", harness.program(head).id()));
    let status = status.expect("the status of a running head");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("its resident memory");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// The settings of a tenant, some 4 KB, in their N-th form.
fn tenant(number: usize, form: usize) -> Value {
    tenant_with(number, form, EXPORTS)
}

/// The settings of a tenant with so many exports.
pub fn large_tenant(exports: usize) -> Value {
    tenant_with(TENANTS, 0, exports)
}

fn tenant_with(number: usize, form: usize, exports: usize) -> Value {
    let export = |index: usize| {
        json!({"name": format!("press-{number:02}-{index:02}"), "tree": "horvat", "plan": "even", "shard": 3,
            "volume": format!("{:016x}", 0xb100 + 100 * number + index), "heads": 3, "readClass": "read",
            "writeClass": "write", "largeClass": "bulk", "largeBytes": 32_768 + form, "unitBytes": 16_384})
    };
    json!({"exports": (0..exports).map(export).collect::<Vec<Value>>()})
}

pub fn put_tenant(harness: &Harness, head: usize, number: usize, form: usize) -> Option<Said> {
    let headers = format!("Idempotency-Key: shop-{number}-{form}\r\n");
    let body = tenant(number, form).to_string();
    call(harness.api(head), &format!("PUT /v1/tenants/shop-{number:02}"), &headers, &body)
}

/// Puts a tenant in place through one head; the version at which that is committed.
pub fn put_until_committed(harness: &Harness, head: usize, number: usize, form: usize) -> u64 {
    let said = harness.until("a change is committed", || {
        put_tenant(harness, head, number, form).filter(|said| said.status < 300)
    });
    said.version.expect("a version")
}
