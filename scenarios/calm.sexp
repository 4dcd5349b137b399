; A usual morning on which nothing strikes: the line to compare others with.
(scenario calm (seconds 30) (load 0.5))
