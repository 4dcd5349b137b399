; What a head costs: one head before fast boxes, so that nothing waits.
(scenario cpu
  (seconds 6) (heads 1) (boxes 12) (load 0.5)
  (box (big-speed 20) (small-speed 20) (pause-ms 0) (put-off 0) (queue 200) (slots 8))
  (traffic (surge-every-s 10000)))
