//! Log excerpts in the error for balancers that did not become ready.

use std::path::Path;
use std::thread;

use valvestage_soak::SoakError;
use valvestage_soak::balancer_process::BalancerProcess;

#[test]
fn an_error_shows_the_last_lines_of_each_balancer() {
    let folder = std::env::temp_dir().join(format!("valvestage-soak-logs-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    // Stands in for the balancer: prints its arguments and exits.
    let mut process = BalancerProcess::new(Path::new("/bin/echo"), &folder, 2, "").unwrap();
    for _ in 0..3 {
        process.start().unwrap();
        while process.poll_exit().unwrap().is_none() {
            thread::yield_now();
        }
    }

    let logs = vec![process.last_lines(2)];
    let error = SoakError::NotReady { ready: 0, balancers: 1, logs }.to_string();
    assert!(error.contains("0 of 1 balancers became ready"), "{error}");
    assert!(error.contains("does not run, 3 starts"), "{error}");
    assert_eq!(error.matches("--settings").count(), 2, "{error}");
    std::fs::remove_dir_all(folder).unwrap();
}
