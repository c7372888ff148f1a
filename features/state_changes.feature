Feature: Changes survive lost replies, races and restarts

  Scenario: A resend after the leader was killed gets the first answer
    The operator's change is committed, the reply is lost and the leader is
    killed.  The operator sends the change again; run anew it would meet its
    own version as a conflict.
    Given a cluster of 3 instances with disks and 0 without
    And change "c1" wrote team "one"
    When the leading instance dies
    Then the resent change "c1" of team "one" gets its first answer
    When all instances die at once and start again
    Then the resent change "c1" of team "one" gets its first answer

  Scenario: Two operators race on equal versions
    Given a cluster of 3 instances with disks and 0 without
    And change "c1" wrote team "one"
    When operators "ann" and "bob" change team "one" at the same version
    Then one of them is accepted and the other is told who won

  Scenario: Restart after hundreds of changes, with a torn tail
    Every instance is killed at once after 200 changes.  One log ends in a
    record that was being written: it was never answered for and is cut.
    Given a cluster of 3 instances with disks and 0 without
    And 200 changes of team "one"
    When all instances die at once
    And the log of "n2" ends in half a record
    And all instances start again
    Then team "one" is still at the version of "last" everywhere

  Scenario: A damaged log stops its instance with one clear line
    A byte in the middle of a log is damaged.  Cut there, committed entries
    would be lost; so the instance ends with exit code 3 and the others go on.
    Given a cluster of 3 instances with disks and 0 without
    And change "c1" wrote team "one"
    And change "c2" wrote team "two"
    When a byte before the tail of "n2"'s log is damaged
    Then "n2" ends with exit code 3 and one line naming the log
    And change "c3" can write team "three"

  Scenario: A durable change that is not yet in force is said to be so
    Four of seven instances are frozen.  A majority of all members may go on
    renewing each other, so the change is not called accepted; but it is
    made, and "did not run" would invite a second one.
    Given a cluster of 3 instances with disks and 4 without
    When the instances without disks are frozen
    Then change "c1" of team "one" is durable but not in force
    When the instances without disks go on
    Then the resent change "c1" of team "one" gets its first answer
