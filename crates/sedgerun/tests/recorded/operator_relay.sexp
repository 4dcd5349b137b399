; The form of the fleet at a relay, with the deprecated key for the voters.
(fleet
  (name "sesvete")
  (secret "known-to-this-fleet-alone")
  (listen "127.0.0.1:7020")
  (dir "/var/lib/sedgerun/h1")
  (keepers "h2=127.0.0.1:7021")
  (relay yes)
)
