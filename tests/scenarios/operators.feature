Feature: Operators change what is in force, over separate processes

  Background:
    Given a system of 4 backend servers in 2 data centres and 5 daemons
    And the operators' document is in force at every daemon

  Scenario: One of two racing operators wins, and the other sees what changed
    When two operators apply different documents to the same version
    Then one is told the new version, and the other what changed
    And the winner's document is in force at every daemon within 5 s

  Scenario: A data centre leaves and returns while crews upload
    When south is taken out while 4 uploads run
    Then no work begins in south later than 3 s after that
    And every upload ends whole
    When south is brought back
    Then south is given work again, and no server more than its slots

  Scenario: A daemon that restarts while the store is down learns the document from peers
    When the store goes down
    And a daemon is killed and started again
    Then it has the document in force, and answers callers

  Scenario: Daemons that were frozen and cut off do not act on the document they knew
    When the daemons of south are frozen
    And south is taken out while 1 uploads run
    And they go on after 5 s, cut off from all others, with requests waiting for them
    Then no work begins in south later than 3 s after that
    And they learn the document when they are no longer cut off

  Scenario: Reports for scripts are clean
    When south is taken out while 1 uploads run
    Then the status is JSON that names every daemon and the version in force
    And the time line is JSON in causal order, and tells of the change
    And the lookup of a refused request tells why
