//! The settings of the instances in the recorded conversation.

/// Settings of instance 0: every key that the adapter reads and some that it ignores. The simulator sends the
/// endpoint list without a subscription.
pub const ALL_SETTINGS: &str = "\
# a comment
balancers=3
period=1000
zone=1
membershipMode=automatic
classes.count=4
classes.0.name=citanje
classes.0.goalTime=200000
classes.0.deadline=1000000
classes.0.repeat=free
classes.0.group=all
classes.0.dedupWindow=5000000
classes.0.inTurn=false
classes.0.worth=2.0
classes.0.lateWorth=0.2
classes.0.streaming=false
classes.1.name=nova-datoteka
classes.1.goalTime=250000
classes.1.deadline=1200000
classes.1.repeat=single_shot
classes.1.worth=3.0
classes.1.lateWorth=0.2
classes.2.name=izvoz
classes.2.goalTime=600000
classes.2.deadline=2000000
classes.2.repeat=guarded
classes.2.group=cell
classes.2.dedupWindow=1500000
classes.2.worth=1.0
classes.2.lateWorth=0.3
classes.3.name=red
classes.3.goalTime=300000
classes.3.deadline=1000000
classes.3.repeat=guarded
classes.3.group=zone
classes.3.dedupWindow=800000
classes.3.inTurn=true
classes.3.worth=1.5
classes.3.lateWorth=0.1
plans.count=2
plans.0.name=osnovni
plans.0.nominal=40.0
plans.0.reserve=20.0
plans.0.weight=1.0
plans.0.neverOver=60.0
plans.0.mostAtOnce=30.0
plans.0.slack=10.0
plans.0.pays=1.0
plans.1.name=veliki
plans.1.nominal=80.0
plans.1.reserve=0.0
plans.1.weight=3.0
plans.1.neverOver=0.0
plans.1.pays=0.5
rules.answerSlack=150000
rules.drainGrace=100000
rules.startCapacity=0.2
rules.warmWithin=2000000
rules.tipMultiple=2.0
rules.fall=300000
rules.orderPause=120000
rules.budgetWindow=1000000
rules.freeResends=8
rules.extraPerRequest=0.3
rules.askWithin=0
specifics.coldUnits=6
specifics.meanUnits=2.0
specifics.unitsTop=8.0
specifics.meterPeriod=500000
specifics.saysOthers=true
limits.cancel=true
limits.probing=true
limits.maxAttempts=4
limits.retryAfter=true
limits.maxRetryAfter=900000
unheard.of=1
";

/// Settings of instance 1: the endpoint list is sent only after a subscription, and retries have no budget.
pub const SUBSCRIBE_SETTINGS: &str = "\
balancers=2
membershipMode=subscribe
classes.count=2
classes.0.goalTime=150000
classes.0.deadline=900000
classes.0.repeat=free
classes.1.goalTime=150000
classes.1.deadline=900000
classes.1.repeat=guarded
classes.1.group=all
classes.1.dedupWindow=600000
plans.count=1
plans.0.nominal=50.0
plans.0.reserve=50.0
rules.answerSlack=100000
rules.drainGrace=50000
rules.startCapacity=0.5
rules.warmWithin=1000000
rules.tipMultiple=3.0
rules.fall=200000
rules.askWithin=400000
limits.probing=true
limits.maxAttempts=3
limits.retryAfter=false
limits.maxRetryAfter=500000
";

/// Settings of instance 2: only the required keys.
pub const MINIMAL_SETTINGS: &str = "\
balancers=1
classes.count=1
classes.0.goalTime=300000
classes.0.deadline=800000
classes.0.repeat=free
";
