; Every box dies, and all come up again, cold, at the same moment.
(scenario all-boxes-die
  (seconds 35) (heads 3) (boxes 9) (load 0.4)
  (clients (retry wait))
  (between 8 12 (die (boxes all))))
