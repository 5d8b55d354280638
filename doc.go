// Package trail defines the interfaces between the components of bulrushtrail,
// and the error type whose verdict says whether a failed request may have run.
//
// Each interface abstracts something that has more than one implementation or is
// replaced in tests: the platform, the network, bulk storage, the target of a
// call, the policy that assigns calls to backend servers. The implementations
// are in packages below internal/ and platform/.
package trail
