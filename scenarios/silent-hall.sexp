; A third of the boxes is cut off without a word, and is back ten seconds later.
(scenario silent-hall
  (seconds 30) (heads 3) (boxes 9) (load 0.45)
  (clients (retry at-once))
  (between 8 18 (silent (boxes 0 4 8))))
