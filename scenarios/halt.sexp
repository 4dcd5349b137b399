; Boxes stand still for long moments, one after another and then all together.
(scenario halt
  (seconds 25) (heads 3) (boxes 9) (load 0.5)
  (at 5 (pause (boxes 0) (ms 800)))
  (at 8 (pause (boxes 1 2 3) (ms 500)))
  (at 14 (pause (boxes all) (ms 400))))
