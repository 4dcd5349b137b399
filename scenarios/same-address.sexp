; Boxes are replaced under the same address and another id, one of them while a head restarts, and one dies at the
; very end.
(scenario same-address
  (seconds 20) (heads 2) (boxes 6) (load 0.4)
  (at 4 (replace (boxes 1) (after-s 0)))
  (at 8 (replace (boxes 4) (after-s 1)) (kill (heads 0) (for-s 2)))
  (at 20 (die (boxes 0))))
