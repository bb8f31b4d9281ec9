Feature: Operators change the document in force, with separate processes

  Background:
    Given a system of 4 backend servers in 2 data centres and 5 daemons
    And the operators' document is in force at every daemon

  Scenario: One of two racing operators wins, and the other sees what changed
    When two operators apply different documents to the same version
    Then one is told the new version, and the other what changed
    And the winner's document is in force at every daemon within 5 s

  Scenario: A data centre is taken out and brought back during uploads
    When south is taken out while 4 upload(s) run
    Then south gets no new request later than 3 s after it was taken out
    And every upload is answered completely
    When south is brought back
    Then south gets requests again, and no server more than its slots

  Scenario: A daemon that restarts while the store is down gets the document from its peers
    When the store goes down
    And a daemon is killed and restarted
    Then it has the document in force, and answers callers

  Scenario: Daemons that were frozen and cut off do not act on the document they knew
    When the daemons of south are frozen
    And south is taken out while 1 upload(s) run
    And the daemons of south resume after 5 s, cut off from all others, with requests waiting for them
    Then south gets no new request later than 3 s after it was taken out
    And the daemons of south get the document in force when they are no longer cut off

  Scenario: Reports for scripts are valid JSON
    When south is taken out while 1 upload(s) run
    Then the status is JSON that names every daemon and the version in force
    And the time line is JSON in causal order, and contains the change
    And a search for the id of a refused request shows the reason
