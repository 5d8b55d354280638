// Package trail holds the interfaces between the parts of bulrushtrail and the
// verdict that every failure carries.
//
// Each interface stands for behaviour that varies: the platform, the network,
// bulk storage, the target of a call, the policy that places calls. Their
// implementations are in packages below internal/.
package trail
