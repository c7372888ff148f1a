Feature: Each caller gets its own whole answer, or hears what was lost
  Engines, links, entries and services fail while requests are on their way.

  Scenario: An engine dies amid a stream
    # the caller has some tokens; the engine's process is killed; another
    # engine would give another text, so the stream ends by an error event
    Given a request path of 1 instance with disk and 0 without
    When a caller streams 500 tokens through "n1"
    And its engine is killed after 5 tokens
    Then the stream ends with "generation_lost", ran "yes" and a time to return
    And the engines ran 1 generation in all

  Scenario: An engine dies before the first token
    # the permit names an engine whose process has just gone
    Given a request path of 1 instance with disk and 0 without
    When the process of one engine is gone
    And 4 callers stream 5 tokens through "n1"
    Then every stream is whole, in order, from one generation

  Scenario: A link to the engine stalls without a close
    # bytes stop amid the stream and the connection stays open for a minute
    Given a request path of 1 instance with disk and 0 without
    And the engines stall a link after 5 tokens
    When a caller streams 40 tokens through "n1"
    Then the stream is whole, in order, from one generation
    And the engines ran 1 generation in all

  Scenario: An engine crosses its answers
    # every answer and event of one engine names another generation
    Given a request path of 1 instance with disk and 0 without
    And engine "e0" crosses its answers
    When 4 callers stream 20 tokens through "n1"
    Then every stream is whole, in order, from one generation

  Scenario: A caller leaves and its generation is cancelled
    Given a request path of 1 instance with disk and 0 without
    When a caller streams 4000 tokens through "n1"
    And it leaves after 5 tokens
    Then its generation is cancelled

  Scenario: An entry is killed amid a stream and the caller goes on at another
    # the first entry is gone with all it knew; the caller has the last id
    Given a request path of 3 instances with disks and 1 without
    When a caller streams 1500 tokens through "n4"
    And "n4" is killed after 5 tokens
    Then team "volunteers" can't go on with the stream through "n1"
    When the caller goes on through "n1"
    Then "n1" adopts its generation, which the owners count once
    And the stream is whole, in order, from one generation
    And the engines ran 1 generation in all

  Scenario: A case record's reply is lost and the caller sends it again
    # the service writes the record and its connection breaks
    Given a request path of 3 instances with disks and 1 without
    And the service loses its next answer
    When record "r1" is written with key "k1" through "n4"
    Then the call fails with "target_failed" and ran "unknown"
    When record "r1" is written with key "k1" through "n1"
    Then the call fails with "outcome_unknown" and ran "unknown"
    And key "k1" ran 1 time
    When record "r2" is written with key "k2" through "n4"
    Then the call succeeds
    When record "r2" is written with key "k2" through "n2"
    Then the call gets the same answer, marked as replayed
    And key "k2" ran 1 time
    When record "r3" is written with key "k2" through "n2"
    Then the call fails with "key_reused" and ran "no"

  Scenario: An entry dies between a claim and its outcome
    # the claim is durable, the service works, the entry is killed: whoever
    # sends the key again must not make it run again
    Given a request path of 3 instances with disks and 1 without
    And the service takes 60 seconds
    When record "r1" is sent with key "k1" through "n4"
    And "n4" is killed once key "k1" ran
    And record "r1" is sent again with key "k1" through "n1" until "outcome_unknown"
    Then the call fails with "outcome_unknown" and ran "unknown"
    And key "k1" ran 1 time
