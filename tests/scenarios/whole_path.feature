Feature: Requests from end to end, with separate processes

  Scenario: Each daemon answers each kind of request completely
    Given a system of 4 backend servers in 2 data centres and 3 daemons
    When the operators' document is applied through one daemon
    Then a lookup through each daemon is answered by the key's one owner
    And a booking through each daemon is answered completely and runs once
    And an upload of 20 MB through each daemon arrives completely
    And no backend server had more in flight than its slots

  Scenario: Invalid requests are refused and affect no other request
    Given a system of 4 backend servers in 2 data centres and 3 daemons
    When the operators' document is applied through one daemon
    Then a request with <fault> is refused with result <code>
      | fault                  | code |
      | an unknown service     | 100  |
      | no key                 | 101  |
      | a malformed timeout    | 102  |
      | an overlong key        | 102  |
    And malformed and oversized inner frames end only their own stream
    And a lookup through each daemon is answered by the key's one owner
