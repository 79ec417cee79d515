/** Trials in virtual time of the policies that the users' measures decide. */
package org.cornelway.bench.measure;
