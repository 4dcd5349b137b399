; The form of the fleet with every key but the deprecated one.
(fleet
  (name "sesvete")
  (secret "known-to-this-fleet-alone")
  (listen "127.0.0.1:7020")
  (dir "/var/lib/sedgerun/h1")
  (voters "h1=127.0.0.1:7020" "h2=127.0.0.1:7021" "h3=127.0.0.1:7022")
  (heads "h4=127.0.0.1:7023" "h5=127.0.0.1:7024")
  (address "127.0.0.9:7020")
  (zone "a")
  (region "west")
  (relay no)
)
