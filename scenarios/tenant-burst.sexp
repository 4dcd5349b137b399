; Four volumes of the smallest plan ask for ten times their rate, next to all others.
(scenario tenant-burst
  (seconds 30) (heads 3) (boxes 9) (load 0.45)
  (between 8 22 (burst (plan basic) (volumes 4) (times 10))))
