/** Admission control: orders and bounds the requests that wait at one backend server. */
package org.cornelway.admission;
