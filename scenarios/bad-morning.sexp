; Several boxes run slow at once, one class's requests cost ten times their work now and then, and traffic swells.
(scenario bad-morning
  (seconds 40) (heads 4) (boxes 12) (load 0.55)
  (clients (retry wait))
  (between 6 26 (slow (boxes (share 0.2)) (times 4)))
  (between 10 24 (cost (class read) (share 0.02) (times 10)))
  (between 14 20 (swell (times 1.8))))
