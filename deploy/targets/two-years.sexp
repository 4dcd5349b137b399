; The size that docs/CAPACITY.md is worked out for: what the operators expect in two years.
; Units stand in the keys; a megabyte is 1,000,000 bytes, and a kilobyte 1,000.
(capacity two-years
  (heads 6200)
  (backends 7400)
  (client-connections 17000000)
  (requests-per-second 9700000)
  (regions 3)
  (zones 8)
  (configuration (changes-per-day 8100) (in-force-s 7))
  (primary (changes-per-day 15) (settled-s 13))
  (ordinary-day (machine-failures 42) (restarts 4700))
  ; What a head spends on control at the most.
  (head-budget (cpu-percent 1.1) (memory-bytes 256000000) (bytes-per-second 8000))
  ; Machines for control alone: a relay on each, and a voter beside it on three. How many of each run there is our
  ; choice, and the budgets of one voter or relay are assumed: one core for its one thread, the memory of a head, a link
  ; of 1 Gbit/s.
  (set-aside (machines 12) (voters 3) (relays 12)
    (cpu-percent 100) (memory-bytes 256000000) (bytes-per-second 125000000)))
