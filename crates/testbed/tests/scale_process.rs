//! Processes of a measurement: what they are charged with, the end of children, and the limits of a run.

use sedgerun_testbed::process::{
    ChildGuard, LimitExceeded, MachineLimits, MachineMemory, ProcessUsage, ResourcePlan, descendants,
};
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

fn sleeper() -> ChildGuard {
    ChildGuard::new(Command::new("sleep").arg("600").spawn().expect("a process"))
}

#[test]
fn a_guard_ends_and_reaps_its_child_when_it_is_dropped() {
    let mut child = sleeper();
    let place = PathBuf::from(format!("/proc/{}", child.id()));
    assert!(place.exists() && child.child().try_wait().expect("its state").is_none());
    assert!(descendants().expect("a list").contains(&child.id()));
    drop(child);
    // A zombie would still be there.
    assert!(!place.exists());
}

#[test]
fn a_guard_takes_a_child_that_has_ended_by_itself() {
    let mut child = ChildGuard::new(Command::new("true").spawn().expect("a process"));
    let place = PathBuf::from(format!("/proc/{}", child.id()));
    assert!(child.wait().expect("its status").success());
    drop(child);
    assert!(!place.exists());
}

#[test]
fn usage_is_that_of_the_process() {
    let process = std::process::id();
    let before = ProcessUsage::of(process).expect("a reading");
    let held = vec![1_u8; 64 << 20];
    let file = std::fs::File::open("/proc/self/stat").expect("a file");
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(200) {
        std::hint::black_box(held.iter().map(|byte| u64::from(*byte)).sum::<u64>());
    }
    let after = ProcessUsage::of(process).expect("a reading");
    drop((held, file));
    assert!(after.cpu > before.cpu && after.cpu_percent_since(&before) > 0.0);
    assert!(after.memory_bytes > before.memory_bytes + (32 << 20), "{before:?} {after:?}");
    assert!(after.descriptors > 0);
    let idle = sleeper();
    let first = ProcessUsage::of(idle.id()).expect("a reading");
    std::thread::sleep(Duration::from_millis(100));
    let share = ProcessUsage::of(idle.id()).expect("a reading").cpu_percent_since(&first);
    assert!(share < 50.0, "a process that sleeps took {share}% of a core");
}

#[test]
fn a_process_that_is_no_more_is_an_error() {
    let child = sleeper();
    let process = child.id();
    drop(child);
    assert!(ProcessUsage::of(process).is_err());
}

#[test]
fn limits_refuse_a_plan_that_is_too_large_with_one_sentence() {
    let limits = MachineLimits::of_machine().expect("the machine's limits");
    let memory = MachineMemory::of_machine().expect("the machine's memory");
    assert_eq!(limits.memory_bytes, memory.total_bytes / 2);
    assert!(memory.available_bytes <= memory.total_bytes);
    let plan = ResourcePlan { processes: limits.processes, memory_bytes: limits.memory_bytes };
    assert_eq!(limits.check(&plan), Ok(()));
    let many = ResourcePlan { processes: limits.processes + 1, ..plan };
    let large = ResourcePlan { memory_bytes: limits.memory_bytes + 1, ..plan };
    let refused = limits.check(&many).expect_err("too many processes");
    assert_eq!(refused, LimitExceeded::Processes { planned: many.processes, limit: limits.processes });
    assert_eq!(refused.to_string(), "the run needs 301 processes, more than the limit of 300");
    let refused = limits.check(&large).expect_err("too much memory");
    assert_eq!(refused, LimitExceeded::Memory { planned: large.memory_bytes, limit: limits.memory_bytes });
    assert!(refused.to_string().starts_with("the run needs "), "{refused}");
    assert!(!refused.to_string().contains('\n'));
    assert!(limits.check(&ResourcePlan { processes: u64::MAX, memory_bytes: u64::MAX }).is_err());
}
