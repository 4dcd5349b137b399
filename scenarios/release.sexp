; The release of all boxes in a row: each drains, and three seconds later a cold one stands at its address under
; another id, while traffic goes on.
(scenario release
  (seconds 45) (heads 4) (boxes 10) (load 0.5)
  (at 3 (replace (boxes 0)))   (at 7 (replace (boxes 1)))   (at 11 (replace (boxes 2)))
  (at 15 (replace (boxes 3)))  (at 19 (replace (boxes 4)))  (at 23 (replace (boxes 5)))
  (at 27 (replace (boxes 6)))  (at 31 (replace (boxes 7)))  (at 35 (replace (boxes 8)))
  (at 39 (replace (boxes 9))))
