Feature: Targets reach and keep the state that templates intend
  The leader compares what targets announce with what templates say.

  Scenario: A version changes and the minimum keeps serving
    Given an order path with 3 engines at version "1"
    When the operator sets version "2" with 2 targets at least
    Then all engines come to serve version "2" alone
    And 2 engines served all the time
    And loads kept to the weight store's rate

  Scenario: The leader is killed while a version changes
    # the next leader goes on; its numbers are above the old one's
    Given an order path with 3 engines at version "1"
    When the operator sets version "2" with 2 targets at least
    And the leader is killed after the first order
    Then all engines come to serve version "2" alone
    And 2 engines served all the time
    And no engine saw an old fencing number after a new one

  Scenario: A reclaimed engine is replaced
    # e0 is reclaimed; e1 and e2 have no model and no traffic until then
    Given an order path with an engine at version "1" and 2 set apart
    When the operator sets version "1" with 1 targets at least
    And engine "e0" is reclaimed
    Then another engine comes to serve version "1"
