//! Stalls of the event loop are counted.

use sedgerun::event_loop::EventLoopMonitor;
use std::time::Duration;

async fn stalls_beside(work: impl Future<Output = ()>) -> [u64; 2] {
    let monitor = EventLoopMonitor::default();
    tokio::select! {
        () = monitor.run() => {}
        () = work => {}
    }
    monitor.as_metrics().map(|(_, value)| value)
}

#[tokio::test(flavor = "current_thread")]
async fn a_task_that_holds_the_event_loop_up_is_counted_with_its_time() {
    let [stalls, longest_ms] = stalls_beside(async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        std::thread::sleep(Duration::from_millis(400));
        tokio::time::sleep(Duration::from_millis(200)).await;
    })
    .await;
    assert!(stalls >= 1, "{stalls} stalls");
    assert!(longest_ms >= 250, "{longest_ms} ms");
}
