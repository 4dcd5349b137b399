; The operator's file: what a head serves beyond the platform's HTTP. Name it in LB_OPERATOR, and let
; `sedgerun check` read it first. Times are microseconds.

; 9P clients connect here.
(ninep
  (listen "127.0.0.1:5640")
  (clients 128))

; What a tenant exports: a tree at the boxes of a shard, counted for a volume on a plan.
(tenant horvat
  (export press
    (tree "")
    (volume "00000003b4d60021")
    (plan osnovni)
    (shard 3)
    (heads 1)
    (read-class citanje)
    (write-class nova-datoteka)
    (large-class izvoz)
    (large-bytes 32768)
    (unit-bytes 16384)))

; Boxes that speak 9P. One that discovery names too is the same box to the decisions.
(box "s-5be2a07c"
  (address "127.0.0.1:5641")
  (shard 3))

; The administration API: tenants and their exports. On loopback only, with a bearer token.
; (admin
;   (listen "127.0.0.1:5680")
;   (token "at-least-sixteen-characters"))

; VRRP: while this head is the active one, it serves 9P at the virtual addresses too.
; (vrrp
;   (id 7)
;   (priority 120)
;   (interval 1000000)
;   (preempt true)
;   (addresses "127.0.0.100")
;   (port 5640)
;   (listen "127.0.0.1:1112")
;   (peers "127.0.0.2:1112"))

; A fleet that keeps tenants together (docs/operators/store.md). The tenant forms above must go then.
; (fleet
;   (name "sesvete")
;   (secret "known-to-this-fleet-alone")
;   (listen "127.0.0.1:5690")
;   (dir "/var/lib/sedgerun/h1")
;   (voters "h1=127.0.0.1:5690" "h2=127.0.0.1:5691" "h3=127.0.0.1:5692"))
