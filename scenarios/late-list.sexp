; The list runs five seconds behind, and then nobody answers for it, while boxes drain and are replaced.
(scenario late-list
  (seconds 40) (heads 4) (boxes 10) (load 0.5)
  (between 4 24 (lag (s 5)))
  (at 6 (replace (boxes 2)))
  (between 8 12 (drain (boxes 3)))
  (between 14 20 (registry-down))
  (at 15 (replace (boxes 5)))
  (at 17 (cold (boxes 7))))
