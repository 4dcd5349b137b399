(ninep
  (clients 90)
  (listen "127.0.0.1:7010"))
(admin
  (listen "127.0.0.1:7013")
  (token a-token-for-the-tests))
(vrrp
  (addresses "127.0.0.100" "127.0.0.101")
  (id 7)
  (interval 1500000)
  (listen "127.0.0.1:7014")
  (peers "127.0.0.2:7014" "127.0.0.3:7014")
  (port 5640)
  (preempt false)
  (priority 120))
(tenant horvat
  (export press
    (heads 2)
    (large-bytes 40000)
    (large-class bulk)
    (plan even)
    (read-class read)
    (shard 3)
    (tree "main tree")
    (unit-bytes 20000)
    (volume "00000003b4d60021")
    (write-class new_file)))
(box s-1
  (address "127.0.0.1:7011")
  (shard 3))
(box s-2
  (address "127.0.0.1:7012")
  (shard 4))
