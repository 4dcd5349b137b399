; A fifth of the boxes comes up cold while all heads hold traffic for them, and one head restarts with no memory in
; their midst.
(scenario cold-morning
  (seconds 30) (heads 6) (boxes 30) (load 0.6)
  (at 6 (cold (boxes 2 7 12 17 22 27)))
  (at 9 (kill (heads 1) (for-s 1))))
