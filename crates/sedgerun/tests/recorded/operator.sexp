; Every form but that of the fleet.
(ninep
  (listen "127.0.0.1:7010")
  (clients 90)
)
(tenant horvat
  (export press
    (tree "main")
    (volume "00000003b4d60021")
    (plan even)
    (shard 3)
    (heads 2)
    (read-class read)
    (write-class new_file)
    (large-class bulk)
    (large-bytes 40000)
    (unit-bytes 20000)
  )
  (export proofs
    (volume b2)
    (plan large)
    (shard 4)
    (read-class read)
    (write-class new_file)
    (large-class bulk)
  )
)
(tenant "novak 2"
  (export maps
    (volume "c3")
    (plan large)
    (shard 5)
    (read-class read)
    (write-class new_file)
    (large-class bulk)
  )
)
(box "s-1"
  (address "127.0.0.1:7011")
  (shard 3)
)
(box "s-2"
  (address "127.0.0.1:7012")
  (shard 4)
)
(admin
  (listen "127.0.0.1:7013")
  (token "a-token-for-the-tests")
)
(vrrp
  (id 7)
  (priority 120)
  (interval 1500000)
  (preempt #f)
  (addresses "127.0.0.100" "127.0.0.101")
  (port 5640)
  (listen "127.0.0.1:7014")
  (peers "127.0.0.2:7014" "127.0.0.3:7014")
)
